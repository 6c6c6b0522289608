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
 * Messages between entry hosts. On each connection, the host that opened it sends
 * requests and its status; the other one sends only responses.
 */
public sealed interface PeerMessage {

	/**
	 * Full status of the sender. The first message on a connection, repeated
	 * periodically.
	 *
	 * @param number sequence number of the status, increasing within an incarnation of
	 * the sender
	 * @param dataCentre data centre of the sender
	 * @param httpAddress address on which the sender accepts announcements,
	 * {@code ip:port}
	 * @param stopping whether the sender accepts no new work, because it is stopping or
	 * does not hear the receiver
	 * @param configurationIndex index of the configuration that the sender has applied
	 * @param queues capacity of the queues with attached runners
	 * @param clockMillis clock of the sender when the status was sent
	 */
	record PeerStatus(long number, DataCentre dataCentre, String httpAddress, boolean stopping, long configurationIndex,
			List<QueueStatus> queues, long clockMillis) implements PeerMessage {

		public PeerStatus {
			queues = List.copyOf(queues);
		}

	}

	/**
	 * Difference to the previous status of the sender. Sent between full statuses, by
	 * default at most every 200 ms.
	 *
	 * @param number sequence number of the status; the change applies only to the status
	 * with the preceding number
	 * @param stopping whether the sender accepts no new work, because it is stopping or
	 * does not hear the receiver
	 * @param configurationIndex index of the configuration that the sender has applied
	 * @param queues queues whose capacity has changed
	 * @param removed queues that no longer have attached runners
	 */
	record PeerStatusChange(long number, boolean stopping, long configurationIndex, List<QueueStatus> queues,
			List<QueueName> removed) implements PeerMessage {

		public PeerStatusChange {
			queues = List.copyOf(queues);
			removed = List.copyOf(removed);
		}

	}

	/**
	 * Capacity of one queue on an entry host.
	 *
	 * @param queue name of the queue
	 * @param slots number of slots of the attached runners
	 * @param freeSlots number of those slots that are free
	 * @param waiting number of waiting requests
	 * @param serviceMillis recent service time of a request
	 */
	record QueueStatus(QueueName queue, int slots, int freeSlots, int waiting, long serviceMillis) {

	}

	/**
	 * Forwards one attempt of a request. The sender keeps the token and the claim and
	 * decides on retries.
	 *
	 * @param attempt number of the attempt, unique within an incarnation of the sender
	 * @param queue the queue of the request
	 * @param team the team of the request, empty on an open queue
	 * @param requestId identifier of the request
	 * @param repeatable whether the request may run more than once
	 * @param remainingMillis time until the deadline when the message was sent
	 * @param contentType content type of the body
	 * @param body body of the request
	 * @param receiverDeadlineMillis the deadline by the clock of the receiver, empty if
	 * the sender does not know that clock; the receiver does not start the request after
	 * it, however long the message was delayed
	 */
	record ForwardRequest(long attempt, QueueName queue, Optional<TeamName> team, RequestId requestId,
			boolean repeatable, long remainingMillis, String contentType, Payload body,
			OptionalLong receiverDeadlineMillis) implements PeerMessage {

		/**
		 * Returns a copy with a deadline by the clock of the receiver.
		 * @param newReceiverDeadlineMillis the deadline, empty if that clock is unknown
		 * @return the copy
		 */
		public ForwardRequest withReceiverDeadline(OptionalLong newReceiverDeadlineMillis) {
			return new ForwardRequest(this.attempt, this.queue, this.team, this.requestId, this.repeatable,
					this.remainingMillis, this.contentType, this.body, newReceiverDeadlineMillis);
		}

		/**
		 * Returns when the receiver aborts the request.
		 * @param nowMillis current time by the clock of the receiver
		 * @param longestMillis maximum duration of a request at the receiver
		 * @return the earliest of the deadlines, by the clock of the receiver
		 */
		public long deadlineMillis(long nowMillis, long longestMillis) {
			long deadlineMillis = nowMillis + Math.min(this.remainingMillis, longestMillis);
			return Math.min(deadlineMillis, this.receiverDeadlineMillis.orElse(deadlineMillis));
		}

	}

	/**
	 * Result of a forwarded attempt.
	 *
	 * @param attempt number of the attempt
	 * @param senderIncarnation incarnation of the entry host that forwarded the attempt
	 * @param outcome whether the attempt ran
	 * @param code error code if there is no response
	 * @param message error message if there is no response
	 * @param status HTTP status of the response, 0 if there is none
	 * @param contentType content type of the response
	 * @param body body of the response
	 */
	record ForwardAnswer(long attempt, long senderIncarnation, Outcome outcome, ErrorCode code, String message,
			int status, String contentType, Payload body) implements PeerMessage {

	}

	/**
	 * Cancels a forwarded attempt. An attempt that is still queued is answered as not
	 * run.
	 *
	 * @param attempt number of the attempt
	 */
	record CancelForward(long attempt) implements PeerMessage {

	}

	/**
	 * Announces withdrawn keys.
	 *
	 * @param keyHashes hashes of the withdrawn keys
	 */
	record KeyWithdrawn(List<KeyHash> keyHashes) implements PeerMessage {

		public KeyWithdrawn {
			keyHashes = List.copyOf(keyHashes);
		}

	}

	/**
	 * Response to {@link KeyWithdrawn}: the sender no longer accepts the keys.
	 *
	 * @param keyHashes hashes of the withdrawn keys
	 */
	record KeyWithdrawnAcknowledged(List<KeyHash> keyHashes) implements PeerMessage {

		public KeyWithdrawnAcknowledged {
			keyHashes = List.copyOf(keyHashes);
		}

	}

	/**
	 * Requests the current configuration after a restart.
	 *
	 * @param appliedIndex index of the configuration that the sender has applied, 0 if
	 * none
	 */
	record AskConfiguration(long appliedIndex) implements PeerMessage {

	}

	/**
	 * Response to {@link AskConfiguration}, sent only if the sender has a newer
	 * configuration.
	 *
	 * @param configuration current queues, teams and keys, without pools and hosts
	 */
	record ConfigurationKnown(ConfigurationSnapshot configuration) implements PeerMessage {

	}

}
