package io.burdockpin.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.burdockpin.core.membership.PeerMessage.PeerStatus;
import io.burdockpin.core.membership.PeerMessage.PeerStatusChange;
import io.burdockpin.core.membership.PeerMessage.QueueStatus;
import io.burdockpin.core.model.QueueName;

/**
 * Encodes the status for one peer as differences and skips most of those without a
 * change. Mutable; owned by the owner of the connections. Sequence numbers continue
 * across connections, so that a change never applies to a status of an earlier connection
 * when the first frame of the new one is lost.
 */
public final class PeerStatusSender {

	/**
	 * A peer that has missed a frame because a buffer was full cannot apply any change
	 * until the next full status.
	 */
	private static final long FULL_STATUS_PERIOD_MILLIS = 5_000;

	/** Changes of the service time by less than a tenth affect no routing decision. */
	private static final int SERVICE_CHANGE_DIVISOR = 10;

	/**
	 * An unchanged status is sent at two fifths of the time after which the peer
	 * considers this host silent, so that a status may be late by more than one period.
	 */
	private static final int UNCHANGED_PERIOD_PERCENT = 40;

	private static final int PERCENT = 100;

	private final long unchangedPeriodMillis;

	private final Map<QueueName, QueueStatus> sentQueues = new TreeMap<>();

	private boolean fullStatusRequired = true;

	private long nextNumber;

	private long lastFullStatusMillis;

	private long lastSentMillis;

	private boolean sentStopping;

	private long sentConfigurationIndex;

	private boolean requestAccepted;

	/**
	 * Creates a sender that has not sent a status yet.
	 * @param silentMillis time without a status after which the peer considers this host
	 * silent
	 */
	public PeerStatusSender(long silentMillis) {
		this.unchangedPeriodMillis = silentMillis * UNCHANGED_PERIOD_PERCENT / PERCENT;
	}

	/** Handles a new connection. The first status on it is a full one. */
	public void onConnected() {
		this.fullStatusRequired = true;
	}

	/**
	 * Handles an accepted request of the peer. The peer subtracts it from the free slots
	 * of the last status until it receives the next one, so the next status is sent even
	 * without a change.
	 */
	public void onRequestAccepted() {
		this.requestAccepted = true;
	}

	/**
	 * Returns the next message.
	 * @param status the current status; its number is ignored
	 * @param nowMillis the current time
	 * @return the message to send, empty if none is due
	 */
	public Optional<PeerMessage> next(PeerStatus status, long nowMillis) {
		if (!isDue(status, nowMillis)) {
			return Optional.empty();
		}
		this.lastSentMillis = nowMillis;
		this.sentStopping = status.stopping();
		this.sentConfigurationIndex = status.configurationIndex();
		this.requestAccepted = false;
		return Optional.of(message(status, nowMillis));
	}

	private boolean isDue(PeerStatus status, long nowMillis) {
		return this.fullStatusRequired || this.requestAccepted
				|| nowMillis - this.lastSentMillis >= this.unchangedPeriodMillis
				|| status.stopping() != this.sentStopping || status.configurationIndex() != this.sentConfigurationIndex
				|| queuesDiffer(status.queues());
	}

	private boolean queuesDiffer(List<QueueStatus> queues) {
		return queues.size() != this.sentQueues.size() || queues.stream().anyMatch(this::differsFromSent);
	}

	private boolean differsFromSent(QueueStatus queue) {
		QueueStatus before = this.sentQueues.get(queue.queue());
		return before == null || differs(before, queue);
	}

	private PeerMessage message(PeerStatus status, long nowMillis) {
		long messageNumber = this.nextNumber++;
		if (this.fullStatusRequired || nowMillis - this.lastFullStatusMillis >= FULL_STATUS_PERIOD_MILLIS) {
			this.fullStatusRequired = false;
			this.lastFullStatusMillis = nowMillis;
			this.sentQueues.clear();
			status.queues().forEach((queue) -> this.sentQueues.put(queue.queue(), queue));
			return new PeerStatus(messageNumber, status.dataCentre(), status.httpAddress(), status.stopping(),
					status.configurationIndex(), status.queues(), status.clockMillis());
		}
		return change(status, messageNumber);
	}

	private PeerStatusChange change(PeerStatus status, long messageNumber) {
		Map<QueueName, QueueStatus> remaining = new TreeMap<>(this.sentQueues);
		List<QueueStatus> changed = new ArrayList<>();
		for (QueueStatus queue : status.queues()) {
			remaining.remove(queue.queue());
			if (differsFromSent(queue)) {
				changed.add(queue);
				this.sentQueues.put(queue.queue(), queue);
			}
		}
		List<QueueName> removed = List.copyOf(remaining.keySet());
		removed.forEach(this.sentQueues::remove);
		return new PeerStatusChange(messageNumber, status.stopping(), status.configurationIndex(), changed, removed);
	}

	private static boolean differs(QueueStatus before, QueueStatus now) {
		long serviceChangeMillis = Math.abs(now.serviceMillis() - before.serviceMillis());
		return before.slots() != now.slots() || before.freeSlots() != now.freeSlots()
				|| before.waiting() != now.waiting()
				|| serviceChangeMillis > before.serviceMillis() / SERVICE_CHANGE_DIVISOR;
	}

}
