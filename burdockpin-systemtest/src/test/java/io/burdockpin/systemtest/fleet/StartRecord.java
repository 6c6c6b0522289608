package io.burdockpin.systemtest.fleet;

/**
 * A line of a runner's record: a request that it started.
 *
 * @param startMillis when it started
 * @param requestId the caller's identifier
 * @param runner the runner
 */
public record StartRecord(long startMillis, String requestId, String runner) {

	static StartRecord parse(String line) {
		String[] fields = line.split(" ");
		return new StartRecord(Long.parseLong(fields[0]), fields[1], fields[3]);
	}

}
