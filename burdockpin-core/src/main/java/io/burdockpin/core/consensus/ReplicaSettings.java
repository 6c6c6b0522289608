package io.burdockpin.core.consensus;

import io.burdockpin.core.util.Checks;

/**
 * Settings of the replicated log. Immutable.
 *
 * @param heartbeatMillis interval between the leader's heartbeats
 * @param electionTimeoutMinimumMillis minimum of the randomized election timeout
 * @param electionTimeoutMaximumMillis maximum of the randomized election timeout
 * @param snapshotEntries number of committed entries after which a snapshot is taken
 * @param snapshotBytes total size of committed entries after which a snapshot is taken;
 * bounds the memory of the log when entries are large
 * @param retainedEntries number of entries before a snapshot that are retained for
 * followers that lag slightly
 * @param maximumAppendBytes maximum total size of the entries in one append request
 * @param snapshotChunkBytes size of a snapshot chunk
 * @param hangingWriteMillis time after which a leader whose write is still pending gives
 * up its leadership; together with an election this stays below the 3 s within which
 * urgent work must start
 */
public record ReplicaSettings(int heartbeatMillis, int electionTimeoutMinimumMillis, int electionTimeoutMaximumMillis,
		int snapshotEntries, int snapshotBytes, int retainedEntries, int maximumAppendBytes, int snapshotChunkBytes,
		int hangingWriteMillis) {

	/** Default settings. */
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
