package io.burdockpin.core.consensus;

import java.util.List;
import java.util.Optional;

/**
 * Durable state of a member, read from its data folder at startup.
 *
 * @param self identity of the member
 * @param term the newest recorded term
 * @param votedFor the candidate that the member voted for in that term, empty if none
 * @param snapshot the newest snapshot
 * @param entries the log entries after the snapshot, in index order
 */
public record DurableState(MemberId self, long term, Optional<MemberId> votedFor, Snapshot snapshot,
		List<LogEntry> entries) {

	public DurableState {
		entries = List.copyOf(entries);
	}

}
