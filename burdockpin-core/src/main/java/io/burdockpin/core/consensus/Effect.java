package io.burdockpin.core.consensus;

import java.util.List;
import java.util.Optional;

/**
 * What the owner of a {@link Replica} has to do, in the given order. Writes carry rising
 * numbers; the owner reports the number of the last write that is synced.
 */
public sealed interface Effect {

	/**
	 * Sends a message.
	 *
	 * @param receiver the member it is meant for
	 * @param membershipIndex index of the newest membership that the sender knows
	 * @param message the message
	 */
	record Send(MemberId receiver, long membershipIndex, ConsensusMessage message) implements Effect {

	}

	/**
	 * Writes term and vote.
	 *
	 * @param number the number of the write
	 * @param term the term
	 * @param votedFor the vote in that term
	 */
	record WriteVote(long number, long term, Optional<MemberId> votedFor) implements Effect {

	}

	/**
	 * Writes entries, in place of all entries from the index of the first one.
	 *
	 * @param number the number of the write
	 * @param entries the entries
	 */
	record WriteEntries(long number, List<LogEntry> entries) implements Effect {

	}

	/**
	 * Writes a snapshot. Entries up to its index are no longer needed.
	 *
	 * @param number the number of the write
	 * @param snapshot the snapshot
	 * @param discardLog whether the later entries are void too
	 */
	record WriteSnapshot(long number, Snapshot snapshot, boolean discardLog) implements Effect {

	}

	/**
	 * Applies committed entries to the state machine.
	 *
	 * @param entries the entries in order
	 */
	record Apply(List<LogEntry> entries) implements Effect {

	}

	/**
	 * Replaces the state machine.
	 *
	 * @param snapshot the new state
	 */
	record Restore(Snapshot snapshot) implements Effect {

	}

	/**
	 * A read may be answered as current once the index is applied, which it is when this
	 * effect is carried out in order.
	 *
	 * @param readNumber the number of the read
	 * @param index the index
	 */
	record ReadConfirmed(long readNumber, long index) implements Effect {

	}

	/**
	 * A read cannot be confirmed by this member.
	 *
	 * @param readNumber the number of the read
	 */
	record ReadRefused(long readNumber) implements Effect {

	}

	/**
	 * The role, the term or the known leader has changed.
	 *
	 * @param role the role of this member
	 * @param term its term
	 * @param leader the leader it follows
	 */
	record LeadershipChanged(Role role, long term, Optional<MemberId> leader) implements Effect {

	}

	/**
	 * The newest membership in the log has changed.
	 *
	 * @param membership the members
	 */
	record MembershipChanged(Membership membership) implements Effect {

	}

}
