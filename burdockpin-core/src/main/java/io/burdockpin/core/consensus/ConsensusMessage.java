package io.burdockpin.core.consensus;

import java.util.List;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Payload;

/** Content of the messages between control members. */
public sealed interface ConsensusMessage {

	/**
	 * Returns the term of the sender, or the term it asks about.
	 * @return the term
	 */
	long term();

	/** A message that a member answers; it may come from a member that is not known. */
	sealed interface Request extends ConsensusMessage {

	}

	/** An answer; it counts only if it comes from a current member. */
	sealed interface Reply extends ConsensusMessage {

	}

	/** Carries feed confirmations only; the replica takes no notice of it. */
	sealed interface Notice extends ConsensusMessage {

	}

	/**
	 * Asks for a vote.
	 *
	 * @param term the term the candidate stands for
	 * @param preVote whether it only asks if it would get the vote
	 * @param transfer whether the leader asked the candidate to take over
	 * @param lastIndex last index of its log
	 * @param lastTerm term of that entry
	 */
	record VoteRequest(long term, boolean preVote, boolean transfer, long lastIndex, long lastTerm) implements Request {

	}

	/**
	 * Answers a {@link VoteRequest}.
	 *
	 * @param term the term of the voter; for a granted pre-vote, the term asked about
	 * @param preVote whether it answers a pre-vote
	 * @param granted whether the vote is given
	 */
	record VoteReply(long term, boolean preVote, boolean granted) implements Reply {

	}

	/**
	 * Appends entries, and tells that the leader is alive.
	 *
	 * @param term the leader's term
	 * @param previousIndex index before the entries
	 * @param previousTerm term of the entry at that index
	 * @param entries the entries, none in a heartbeat
	 * @param commitIndex the leader's commit index
	 * @param round number of the leader's heartbeat round, repeated in the reply
	 * @param sentMillis the leader's clock when it sent this, repeated in the reply
	 */
	record AppendRequest(long term, long previousIndex, long previousTerm, List<LogEntry> entries, long commitIndex,
			long round, long sentMillis) implements Request {

		public AppendRequest {
			entries = List.copyOf(entries);
		}

	}

	/**
	 * Answers an {@link AppendRequest} after the sync.
	 *
	 * @param term the follower's term
	 * @param matched whether the entry before the new ones was the same
	 * @param index the last index known to be the same; if not matched, where the leader
	 * should try next
	 * @param round from the request
	 * @param sentMillis from the request
	 */
	record AppendReply(long term, boolean matched, long index, long round, long sentMillis) implements Reply {

	}

	/**
	 * A part of a snapshot.
	 *
	 * @param term the leader's term
	 * @param index the last index in the snapshot
	 * @param indexTerm the term of that entry
	 * @param membershipIndex index of the entry that set the members
	 * @param membership the members at that index
	 * @param offsetBytes where the part begins
	 * @param totalBytes size of the whole snapshot
	 * @param bytes the part
	 * @param round number of the leader's heartbeat round, repeated in the reply
	 * @param sentMillis the leader's clock when it sent this, repeated in the reply
	 */
	record SnapshotChunk(long term, long index, long indexTerm, long membershipIndex, Membership membership,
			int offsetBytes, int totalBytes, Payload bytes, long round, long sentMillis) implements Request {

	}

	/**
	 * Answers a {@link SnapshotChunk}.
	 *
	 * @param term the follower's term
	 * @param index the last index in the snapshot
	 * @param nextOffsetBytes the part it needs next
	 * @param installed whether the snapshot is installed and synced
	 * @param round from the chunk
	 * @param sentMillis from the chunk
	 */
	record SnapshotReply(long term, long index, int nextOffsetBytes, boolean installed, long round,
			long sentMillis) implements Reply {

	}

	/**
	 * Asks the receiver to stand for election at once.
	 *
	 * @param term the leader's term
	 */
	record TimeoutNow(long term) implements Request {

	}

	/**
	 * Tells the leader which entry hosts have which configuration in force.
	 *
	 * @param term the sender's term
	 * @param confirmations one for each entry host that subscribes to the sender
	 */
	record FeedReport(long term, List<FeedConfirmation> confirmations) implements Notice {

		public FeedReport {
			confirmations = List.copyOf(confirmations);
		}

	}

	/**
	 * The configuration that an entry host has in force.
	 *
	 * @param host the entry host
	 * @param dataCentre where it stands
	 * @param appliedIndex index of the configuration
	 */
	record FeedConfirmation(HostName host, DataCentre dataCentre, long appliedIndex) {

	}

}
