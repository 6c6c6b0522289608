package io.burdockpin.core.consensus;

import java.util.List;
import java.util.Optional;

/**
 * A side effect requested by a {@link Replica}. The owner executes effects in the given
 * order. Writes carry increasing numbers; the owner reports the number of the newest
 * synced write through {@link Replica#onSynced(long, long)}.
 */
public sealed interface Effect {

	/**
	 * Sends a message.
	 *
	 * @param receiver the addressed member
	 * @param membershipIndex index of the newest membership in the log of the sender
	 * @param message the payload
	 */
	record Send(MemberId receiver, long membershipIndex, ConsensusMessage message) implements Effect {

	}

	/**
	 * Persists the current term and the vote in it.
	 *
	 * @param number sequence number of the write
	 * @param term the current term
	 * @param votedFor the candidate voted for in that term, empty if none
	 */
	record WriteVote(long number, long term, Optional<MemberId> votedFor) implements Effect {

	}

	/**
	 * Persists log entries. Replaces all entries from the index of the first one onwards.
	 *
	 * @param number sequence number of the write
	 * @param entries consecutive entries, not empty
	 */
	record WriteEntries(long number, List<LogEntry> entries) implements Effect {

	}

	/**
	 * Persists a snapshot. Entries up to its index are no longer needed.
	 *
	 * @param number sequence number of the write
	 * @param snapshot the snapshot
	 * @param discardLog whether the entries after the index of the snapshot are discarded
	 * too
	 */
	record WriteSnapshot(long number, Snapshot snapshot, boolean discardLog) implements Effect {

	}

	/**
	 * Applies committed entries to the state machine.
	 *
	 * @param entries the entries in index order
	 */
	record Apply(List<LogEntry> entries) implements Effect {

	}

	/**
	 * Replaces the state of the state machine by a snapshot.
	 *
	 * @param snapshot the snapshot to restore
	 */
	record Restore(Snapshot snapshot) implements Effect {

	}

	/**
	 * Confirms a linearizable read, which is valid once the index is applied. Because
	 * effects are executed in order, it is already applied when the owner reaches this
	 * effect.
	 *
	 * @param readNumber the number passed to {@link Replica#read(long, long)}
	 * @param index the log index that the read must include
	 * @param permitsSending whether messages that only a leader may send are permitted
	 * for the minimum election timeout from the request of the read, by the clock of this
	 * member; {@code false} during a leadership transfer
	 */
	record ReadConfirmed(long readNumber, long index, boolean permitsSending) implements Effect {

	}

	/**
	 * Rejects a read because this member is not, or no longer, the leader.
	 *
	 * @param readNumber the number passed to {@link Replica#read(long, long)}
	 */
	record ReadRefused(long readNumber) implements Effect {

	}

	/**
	 * Reports that the role, the term or the known leader has changed.
	 *
	 * @param role the new role of this member
	 * @param term the current term
	 * @param leader the current leader, empty if unknown
	 */
	record LeadershipChanged(Role role, long term, Optional<MemberId> leader) implements Effect {

	}

	/**
	 * Reports that the newest membership in the log has changed.
	 *
	 * @param membership the newest membership, committed or not
	 */
	record MembershipChanged(Membership membership) implements Effect {

	}

}
