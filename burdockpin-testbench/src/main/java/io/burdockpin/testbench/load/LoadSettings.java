package io.burdockpin.testbench.load;

import java.util.List;
import java.util.Optional;

import io.burdockpin.core.util.Checks;
import io.burdockpin.testbench.program.EndPoint;

/**
 * Settings of a load run. Immutable.
 *
 * @param entries entry hosts, used in turn
 * @param queues the queues to load
 * @param key team key, or nothing for open queues
 * @param repeatable whether requests are marked as repeatable
 * @param loop when requests are sent
 * @param concurrency requests in flight for each queue in a closed loop
 * @param requestsPerSecond mean rate for each queue in an open loop
 * @param shape how the rate changes in an open loop
 * @param turnMillis length of a turn of rotating demand
 * @param maximumRequests end after this many requests
 * @param maximumMillis end after this time
 * @param bodyBytes size of each request body
 * @param timeoutMillis value of {@code Burdock-Timeout-Ms}
 */
public record LoadSettings(List<EndPoint> entries, List<String> queues, Optional<String> key, boolean repeatable,
		LoadLoop loop, int concurrency, double requestsPerSecond, DemandShape shape, long turnMillis,
		int maximumRequests, long maximumMillis, int bodyBytes, long timeoutMillis) {

	public LoadSettings {
		entries = List.copyOf(entries);
		queues = List.copyOf(queues);
		Checks.range("concurrency", concurrency, 1, 4096);
		Checks.range("turnMillis", turnMillis, 1, 3_600_000);
		Checks.range("maximumRequests", maximumRequests, 1, 10_000_000);
		Checks.range("maximumMillis", maximumMillis, 1, 3_600_000);
		Checks.range("bodyBytes", bodyBytes, 64, 1024 * 1024);
		Checks.range("timeoutMillis", timeoutMillis, 1, 60_000);
	}

}
