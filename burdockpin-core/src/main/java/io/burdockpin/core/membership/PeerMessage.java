package io.burdockpin.core.membership;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.ConfigurationSnapshot;

/**
 * Content of the messages between entry hosts. The host that opened a connection sends
 * requests and status on it; the other one sends only answers.
 */
public sealed interface PeerMessage {

	/**
	 * What the sender can take. Sent first on a connection and from time to time.
	 *
	 * @param number number of the status, grows within a life of the sender
	 * @param dataCentre where it stands
	 * @param httpAddress where it takes announcements, {@code ip:port}
	 * @param stopping whether it takes no new work
	 * @param configurationIndex index of the configuration in force there
	 * @param queues its queues with attached runners
	 * @param clockMillis its clock when it sent this
	 */
	record PeerStatus(long number, DataCentre dataCentre, String httpAddress, boolean stopping, long configurationIndex,
			List<QueueStatus> queues, long clockMillis) implements PeerMessage {

		public PeerStatus {
			queues = List.copyOf(queues);
		}

	}

	/**
	 * What has changed in what the sender can take, sent every 200 ms otherwise.
	 *
	 * @param number number of the status; the change applies only to the one before it
	 * @param stopping whether it takes no new work
	 * @param configurationIndex index of the configuration in force there
	 * @param queues queues whose numbers have changed
	 * @param removed queues without attached runners
	 */
	record PeerStatusChange(long number, boolean stopping, long configurationIndex, List<QueueStatus> queues,
			List<QueueName> removed) implements PeerMessage {

		public PeerStatusChange {
			queues = List.copyOf(queues);
			removed = List.copyOf(removed);
		}

	}

	/**
	 * What an entry host can take for one queue.
	 *
	 * @param queue the queue
	 * @param slots slots of its attached runners
	 * @param freeSlots the free ones
	 * @param waiting requests that wait
	 * @param serviceMillis recent service time
	 */
	record QueueStatus(QueueName queue, int slots, int freeSlots, int waiting, long serviceMillis) {

	}

	/**
	 * Asks for one attempt of a request. The sender holds token and claim and decides on
	 * retries.
	 *
	 * @param attempt number of the attempt, unique in the life of the sender
	 * @param queue the queue
	 * @param team the team, none on an open queue
	 * @param requestId identifier of the request
	 * @param repeatable whether the request may run more than once
	 * @param remainingMillis time left until the deadline when this was sent
	 * @param contentType content type of the body
	 * @param body the body
	 * @param receiverDeadlineMillis the deadline by the clock of the receiver, if the
	 * sender knows that clock; the receiver does not start the request after it, however
	 * long the message was on its way
	 */
	record ForwardRequest(long attempt, QueueName queue, Optional<TeamName> team, RequestId requestId,
			boolean repeatable, long remainingMillis, String contentType, Payload body,
			OptionalLong receiverDeadlineMillis) implements PeerMessage {

		/**
		 * Adds the deadline by the clock of the receiver.
		 * @param newReceiverDeadlineMillis the deadline, if that clock is known
		 * @return the request with it
		 */
		public ForwardRequest withReceiverDeadline(OptionalLong newReceiverDeadlineMillis) {
			return new ForwardRequest(this.attempt, this.queue, this.team, this.requestId, this.repeatable,
					this.remainingMillis, this.contentType, this.body, newReceiverDeadlineMillis);
		}

		/**
		 * Returns when the receiver gives the request up.
		 * @param nowMillis the clock of the receiver
		 * @param longestMillis the longest time that the receiver grants
		 * @return the earliest of the deadlines, by the clock of the receiver
		 */
		public long deadlineMillis(long nowMillis, long longestMillis) {
			long deadlineMillis = nowMillis + Math.min(this.remainingMillis, longestMillis);
			return Math.min(deadlineMillis, this.receiverDeadlineMillis.orElse(deadlineMillis));
		}

	}

	/**
	 * How a forwarded attempt ended.
	 *
	 * @param attempt number of the attempt
	 * @param senderIncarnation the life of the entry host that asked for it
	 * @param outcome whether it ran
	 * @param code the reason if it has no answer
	 * @param message the reason in words
	 * @param status HTTP status of the answer, 0 if there is none
	 * @param contentType content type of the answer
	 * @param body body of the answer
	 */
	record ForwardAnswer(long attempt, long senderIncarnation, Outcome outcome, ErrorCode code, String message,
			int status, String contentType, Payload body) implements PeerMessage {

	}

	/**
	 * Gives a forwarded attempt up. One that still waits is answered as not run.
	 *
	 * @param attempt number of the attempt
	 */
	record CancelForward(long attempt) implements PeerMessage {

	}

	/**
	 * Keys that no longer work.
	 *
	 * @param keyHashes their hashes
	 */
	record KeyWithdrawn(List<KeyHash> keyHashes) implements PeerMessage {

		public KeyWithdrawn {
			keyHashes = List.copyOf(keyHashes);
		}

	}

	/**
	 * Answer to {@link KeyWithdrawn}: the keys no longer work at the sender.
	 *
	 * @param keyHashes their hashes
	 */
	record KeyWithdrawnAcknowledged(List<KeyHash> keyHashes) implements PeerMessage {

		public KeyWithdrawnAcknowledged {
			keyHashes = List.copyOf(keyHashes);
		}

	}

	/**
	 * Asks for the configuration in force, after a restart.
	 *
	 * @param appliedIndex index of the configuration that the sender has, 0 if none
	 */
	record AskConfiguration(long appliedIndex) implements PeerMessage {

	}

	/**
	 * Answer to {@link AskConfiguration}, given only if the sender has a newer one.
	 *
	 * @param configuration queues, teams and keys in force; pools and hosts are left out
	 */
	record ConfigurationKnown(ConfigurationSnapshot configuration) implements PeerMessage {

	}

}
