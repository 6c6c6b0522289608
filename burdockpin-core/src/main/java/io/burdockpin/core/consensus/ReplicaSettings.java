package io.burdockpin.core.consensus;

import io.burdockpin.core.util.Checks;

/**
 * Settings of the replicated log. Immutable.
 *
 * @param heartbeatMillis period of the leader's heartbeats
 * @param electionTimeoutMinimumMillis shortest time without a leader before an election
 * @param electionTimeoutMaximumMillis longest time without a leader before an election
 * @param snapshotEntries entries after which a snapshot is taken
 * @param snapshotBytes size of the entries after which a snapshot is taken; bounds the
 * memory of the log when entries are large
 * @param retainedEntries entries kept before a snapshot for followers that are a little
 * behind
 * @param maximumAppendBytes size of the entries of one message
 * @param snapshotChunkBytes size of the parts of a snapshot
 * @param hangingWriteMillis time after which a leader whose own write is still pending
 * gives up its leadership; with an election it stays below the 3 s in which urgent work
 * starts
 */
public record ReplicaSettings(int heartbeatMillis, int electionTimeoutMinimumMillis, int electionTimeoutMaximumMillis,
		int snapshotEntries, int snapshotBytes, int retainedEntries, int maximumAppendBytes, int snapshotChunkBytes,
		int hangingWriteMillis) {

	/** The defaults. */
	public static final ReplicaSettings DEFAULT = new ReplicaSettings(100, 500, 1000, 4096, 8 * 1024 * 1024, 512,
			1024 * 1024, 64 * 1024, 1500);

	public ReplicaSettings {
		Checks.range("heartbeatMillis", heartbeatMillis, 1, 10_000);
		Checks.range("electionTimeoutMinimumMillis", electionTimeoutMinimumMillis, 3 * heartbeatMillis, 60_000);
		Checks.range("electionTimeoutMaximumMillis", electionTimeoutMaximumMillis, electionTimeoutMinimumMillis + 1,
				120_000);
		Checks.range("snapshotEntries", snapshotEntries, 1, 1_000_000);
		Checks.range("snapshotBytes", snapshotBytes, 1, 1024 * 1024 * 1024);
		Checks.range("retainedEntries", retainedEntries, 0, 1_000_000);
		Checks.range("maximumAppendBytes", maximumAppendBytes, 1, 2 * 1024 * 1024);
		Checks.range("snapshotChunkBytes", snapshotChunkBytes, 1, 1024 * 1024);
		Checks.range("hangingWriteMillis", hangingWriteMillis, 100, 60_000);
	}

}
