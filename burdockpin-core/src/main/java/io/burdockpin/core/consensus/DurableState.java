package io.burdockpin.core.consensus;

import java.util.List;
import java.util.Optional;

/**
 * What a member reads from its data folder when it starts.
 *
 * @param self its identity
 * @param term the newest term it has recorded
 * @param votedFor whom it voted for in that term
 * @param snapshot the newest snapshot
 * @param entries the entries after the snapshot
 */
public record DurableState(MemberId self, long term, Optional<MemberId> votedFor, Snapshot snapshot,
		List<LogEntry> entries) {

	public DurableState {
		entries = List.copyOf(entries);
	}

}
