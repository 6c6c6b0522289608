package io.burdockpin.systemtest.fleet;

import java.util.HashMap;
import java.util.Map;

import io.burdockpin.testbench.program.EndPoint;

/**
 * Gives each host of a fleet its own loopback address, {@code 127.DC.p.HOST}. Address and
 * ports depend on the process id, so that test runs beside each other do not clash. Owned
 * by one test.
 */
final class AddressPlan {

	private static final int RUNS_APART_BY_ADDRESS = 250;

	private static final int RUNS_APART_BY_PORT = 40;

	private static final int FIRST_PORT = 20_000;

	/** All ports stay below 32768, where the system starts to give out its own. */
	private static final int PORTS_PER_RUN = 300;

	private static int nextPortOffset;

	private final Map<String, String> ips = new HashMap<>();

	private final Map<String, Integer> dataCentres = new HashMap<>();

	// access

	EndPoint next(String host) {
		long run = ProcessHandle.current().pid();
		int port = FIRST_PORT + (int) (run / RUNS_APART_BY_ADDRESS % RUNS_APART_BY_PORT) * PORTS_PER_RUN
				+ nextPortOffset++ % PORTS_PER_RUN;
		return new EndPoint(ip(host), port);
	}

	void place(String host, int dataCentre) {
		this.dataCentres.put(host, dataCentre);
		this.ips.put(host, "127.%d.%d.%d".formatted(dataCentre,
				1 + ProcessHandle.current().pid() % RUNS_APART_BY_ADDRESS, this.ips.size() + 1));
	}

	String dataCentre(String host) {
		return "dc" + this.dataCentres.get(host);
	}

	// helpers

	private String ip(String host) {
		return this.ips.get(host);
	}

}
