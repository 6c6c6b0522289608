package io.burdockpin.testbench.worker;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.burdockpin.testbench.program.EndPoint;

/**
 * Settings of a stand-in worker. Immutable.
 *
 * @param name host name of the worker
 * @param controlAddress where tests switch its behaviour and read its counts
 * @param entries entry hosts to announce to, in order of preference
 * @param announceMillis period of the announcements
 * @param attachmentMillis how long an entry host may be silent
 * @param usageLagMillis how old the reported usage is
 * @param jobFile where it notes the start and end of each job
 * @param behaviour how it treats jobs at first
 * @param trustFile authorities of the entry hosts; announcements use HTTP without it
 */
public record WorkerSettings(String name, EndPoint controlAddress, List<EndPoint> entries, long announceMillis,
		long attachmentMillis, long usageLagMillis, Optional<Path> jobFile, WorkerBehaviour behaviour,
		Optional<Path> trustFile) {

	public WorkerSettings {
		entries = List.copyOf(entries);
	}

}
