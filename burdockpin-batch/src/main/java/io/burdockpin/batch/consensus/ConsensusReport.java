package io.burdockpin.batch.consensus;

import java.util.List;
import java.util.Optional;

import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.Snapshot;

/** What the {@link ConsensusActor} tells the owner of the state machine, in log order. */
public interface ConsensusReport {

	/**
	 * Entries were committed.
	 *
	 * @param entries the entries in order
	 * @param snapshotDue whether the owner should hand over its state
	 */
	record Committed(List<LogEntry> entries, boolean snapshotDue) implements ConsensusReport {

	}

	/**
	 * The state machine is replaced.
	 *
	 * @param snapshot the new state
	 */
	record Restored(Snapshot snapshot) implements ConsensusReport {

	}

	/**
	 * A proposal was taken into the log; it is not committed yet.
	 *
	 * @param tag from the proposal
	 * @param index the index of its entry
	 */
	record Proposed(long tag, long index) implements ConsensusReport {

	}

	/**
	 * A proposal was not taken and never will be.
	 *
	 * @param tag from the proposal
	 */
	record NotProposed(long tag) implements ConsensusReport {

	}

	/**
	 * A read was confirmed or cannot be.
	 *
	 * @param number from the read
	 * @param confirmed whether the present state is current
	 */
	record ReadDone(long number, boolean confirmed) implements ConsensusReport {

	}

	/**
	 * Role, term or leader have changed.
	 *
	 * @param leads whether this member leads
	 * @param term the term
	 * @param leader the leader, if one is known
	 */
	record LeadershipChanged(boolean leads, long term, Optional<MemberId> leader) implements ConsensusReport {

	}

	/**
	 * The members have changed.
	 *
	 * @param membership the members
	 */
	record MembersChanged(Membership membership) implements ConsensusReport {

	}

}
