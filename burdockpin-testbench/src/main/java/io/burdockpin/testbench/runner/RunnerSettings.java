package io.burdockpin.testbench.runner;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.burdockpin.runtime.tls.ReloadableTlsIdentity;
import io.burdockpin.testbench.program.EndPoint;

/**
 * Settings of a stand-in runner. Immutable.
 *
 * @param name name of the runner
 * @param queue the queue it serves
 * @param dataCentre the data centre it stands in
 * @param address where it takes requests
 * @param controlAddress where tests switch its behaviour and read its counts
 * @param entries entry hosts to announce to, in order of preference
 * @param slots how many requests it runs at once
 * @param connections how many connections it accepts
 * @param serviceMillis how long a request runs
 * @param announceMillis period of the announcements
 * @param attachmentMillis how long an entry host may be silent
 * @param startedFile where it notes each started request
 * @param behaviour how it treats requests at first
 * @param trustFile authorities of the entry hosts; announcements use HTTP without it
 * @param tls certificate for requests over TLS; the runner takes plain requests without
 * it
 */
public record RunnerSettings(String name, String queue, String dataCentre, EndPoint address, EndPoint controlAddress,
		List<EndPoint> entries, int slots, int connections, long serviceMillis, long announceMillis,
		long attachmentMillis, Optional<Path> startedFile, RunnerBehaviour behaviour, Optional<Path> trustFile,
		Optional<ReloadableTlsIdentity> tls) {

	public RunnerSettings {
		entries = List.copyOf(entries);
	}

}
