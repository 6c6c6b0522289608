package io.burdockpin.systemtest.fleet;

/**
 * A line of a runner's record: a request that it started.
 *
 * @param startMillis when it started
 * @param requestId the caller's identifier
 * @param runner the runner
 * @param runMillis how long it runs at least; a request that starts shortly before its
 * deadline ends there
 */
public record StartRecord(long startMillis, String requestId, String runner, long runMillis) {

	static StartRecord parse(String line) {
		String[] fields = line.split(" ");
		return new StartRecord(Long.parseLong(fields[0]), fields[1], fields[3], Long.parseLong(fields[4]));
	}

}
