package io.burdockpin.batch.consensus;

import java.util.List;
import java.util.Optional;

import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.Snapshot;

/**
 * Messages from the {@link ConsensusActor} to the owner of the state machine, in order.
 */
public interface ConsensusReport {

	/**
	 * Entries were committed.
	 *
	 * @param entries the entries in log order
	 * @param snapshotDue whether the owner should send a {@link ConsensusCommand.Compact}
	 */
	record Committed(List<LogEntry> entries, boolean snapshotDue) implements ConsensusReport {

	}

	/**
	 * The state machine must be replaced by a snapshot.
	 *
	 * @param snapshot the new state; without content on a member that has none yet
	 */
	record Restored(Snapshot snapshot) implements ConsensusReport {

	}

	/**
	 * A proposal was appended to the log but is not committed yet.
	 *
	 * @param tag copied from the proposal
	 * @param index the log index of its entry
	 */
	record Proposed(long tag, long index) implements ConsensusReport {

	}

	/**
	 * A proposal was rejected and will not be committed.
	 *
	 * @param tag copied from the proposal
	 */
	record NotProposed(long tag) implements ConsensusReport {

	}

	/**
	 * A read was confirmed or cannot be confirmed.
	 *
	 * @param number copied from the read
	 * @param outcome what the confirmation permits
	 */
	record ReadDone(long number, ReadOutcome outcome) implements ConsensusReport {

	}

	/**
	 * The role, the term or the known leader has changed.
	 *
	 * @param leads whether this member is the leader
	 * @param term the current term
	 * @param leader the leader; empty if none is known
	 */
	record LeadershipChanged(boolean leads, long term, Optional<MemberId> leader) implements ConsensusReport {

	}

	/**
	 * The membership has changed.
	 *
	 * @param membership the new membership
	 */
	record MembersChanged(Membership membership) implements ConsensusReport {

	}

}
