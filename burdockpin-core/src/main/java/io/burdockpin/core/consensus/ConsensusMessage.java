package io.burdockpin.core.consensus;

import java.util.List;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Payload;

/** Messages between the members of a consensus group. */
public sealed interface ConsensusMessage {

	/**
	 * Returns the term of the sender. For a pre-vote request and a granted pre-vote, this
	 * is the term that the candidate would start.
	 * @return the term
	 */
	long term();

	/** A request to a member. Also accepted from members outside the membership. */
	sealed interface Request extends ConsensusMessage {

	}

	/** A response. Accepted only from members of the current membership. */
	sealed interface Reply extends ConsensusMessage {

	}

	/** A message that passes through the consensus link but is ignored by the replica. */
	sealed interface Notice extends ConsensusMessage {

	}

	/**
	 * Requests a vote.
	 *
	 * @param term the term of the election
	 * @param preVote whether this is a pre-vote, which changes no durable state
	 * @param transfer whether the election is a leadership transfer requested by the
	 * leader
	 * @param lastIndex last index of the candidate's log
	 * @param lastTerm term of the entry at that index
	 */
	record VoteRequest(long term, boolean preVote, boolean transfer, long lastIndex, long lastTerm) implements Request {

	}

	/**
	 * Response to a {@link VoteRequest}.
	 *
	 * @param term the term of the voter; for a granted pre-vote, the term of the request
	 * @param preVote whether this is the response to a pre-vote
	 * @param granted whether the vote is granted
	 */
	record VoteReply(long term, boolean preVote, boolean granted) implements Reply {

	}

	/**
	 * Appends entries to the log of a follower. Also serves as a heartbeat.
	 *
	 * @param term the leader's term
	 * @param previousIndex index of the entry before the first sent one
	 * @param previousTerm term of the entry at that index
	 * @param entries the entries; empty in a heartbeat
	 * @param commitIndex the leader's commit index
	 * @param round number of the leader's heartbeat round, echoed in the reply
	 * @param sentMillis send time by the leader's monotonic clock, echoed in the reply
	 */
	record AppendRequest(long term, long previousIndex, long previousTerm, List<LogEntry> entries, long commitIndex,
			long round, long sentMillis) implements Request {

		public AppendRequest {
			entries = List.copyOf(entries);
		}

	}

	/**
	 * Response to an {@link AppendRequest}, sent once the entries are synced.
	 *
	 * @param term the follower's term
	 * @param matched whether the follower's log contains the previous entry of the
	 * request
	 * @param index the last index that matches the leader's log; if not matched, the
	 * index that the leader should try next
	 * @param round the round of the request
	 * @param sentMillis the send time of the request
	 */
	record AppendReply(long term, boolean matched, long index, long round, long sentMillis) implements Reply {

	}

	/**
	 * One chunk of a snapshot.
	 *
	 * @param term the leader's term
	 * @param index the last log index that the snapshot includes
	 * @param indexTerm the term of the entry at that index
	 * @param membershipIndex index of the newest membership entry in the snapshot
	 * @param membership the membership at that index
	 * @param offsetBytes offset of the chunk in the snapshot
	 * @param totalBytes size of the whole snapshot
	 * @param bytes the content of the chunk
	 * @param round number of the leader's heartbeat round, echoed in the reply
	 * @param sentMillis send time by the leader's monotonic clock, echoed in the reply
	 */
	record SnapshotChunk(long term, long index, long indexTerm, long membershipIndex, Membership membership,
			int offsetBytes, int totalBytes, Payload bytes, long round, long sentMillis) implements Request {

	}

	/**
	 * Response to a {@link SnapshotChunk}.
	 *
	 * @param term the follower's term
	 * @param index the last log index that the snapshot includes
	 * @param nextOffsetBytes offset of the next chunk to send
	 * @param installed whether the snapshot is installed and synced
	 * @param round the round of the chunk
	 * @param sentMillis the send time of the chunk
	 */
	record SnapshotReply(long term, long index, int nextOffsetBytes, boolean installed, long round,
			long sentMillis) implements Reply {

	}

	/**
	 * Asks the receiver to start an election at once, as part of a leadership transfer.
	 *
	 * @param term the leader's term
	 */
	record TimeoutNow(long term) implements Request {

	}

	/**
	 * Reports the applied configuration index of entry hosts to the leader.
	 *
	 * @param term the sender's term
	 * @param confirmations one for each entry host that is subscribed to the sender
	 */
	record FeedReport(long term, List<FeedConfirmation> confirmations) implements Notice {

		public FeedReport {
			confirmations = List.copyOf(confirmations);
		}

	}

	/**
	 * The newest configuration that an entry host has applied.
	 *
	 * @param host the entry host
	 * @param dataCentre data centre of the entry host
	 * @param appliedIndex log index of that configuration
	 */
	record FeedConfirmation(HostName host, DataCentre dataCentre, long appliedIndex) {

	}

}
