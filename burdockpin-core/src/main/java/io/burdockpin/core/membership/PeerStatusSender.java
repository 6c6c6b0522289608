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
 * Shortens the status for one peer to what has changed, and leaves out most of those
 * without a change. Mutable, owned by the owner of the connections. Numbers go on over
 * connections, so that a change never applies to a status of an earlier connection when
 * the first frame of the new one is lost.
 */
public final class PeerStatusSender {

	/**
	 * A receiver that has missed a frame, because a buffer was full, hears nothing until
	 * the next whole status.
	 */
	private static final long FULL_STATUS_PERIOD_MILLIS = 5_000;

	/** Smaller changes of the service time do not change a decision. */
	private static final int SERVICE_CHANGE_DIVISOR = 10;

	/**
	 * Unchanged statuses are sent at two fifths of the time after which the peer takes
	 * this host for silent, so that one may be late by more than a period.
	 */
	private static final int UNCHANGED_PERIOD_PERCENT = 40;

	private static final int PERCENT = 100;

	private final long unchangedPeriodMillis;

	private final Map<QueueName, QueueStatus> sent = new TreeMap<>();

	private boolean fullStatusRequired = true;

	private long nextNumber;

	private long lastFullStatusMillis;

	private long lastSentMillis;

	private boolean sentStopping;

	private long sentConfigurationIndex;

	private boolean onRequestAccepted;

	/**
	 * Creates a sender that has sent nothing.
	 * @param silentMillis how long after the last status the peer takes this host for
	 * silent
	 */
	public PeerStatusSender(long silentMillis) {
		this.unchangedPeriodMillis = silentMillis * UNCHANGED_PERIOD_PERCENT / PERCENT;
	}

	/** Takes note of a new connection, on which the first status is whole. */
	public void onConnected() {
		this.fullStatusRequired = true;
	}

	/**
	 * Takes note of a request of the peer. The peer counts it against the slots of the
	 * last status until it gets the next one, so that one is sent also without a change.
	 */
	public void onRequestAccepted() {
		this.onRequestAccepted = true;
	}

	/**
	 * Writes the next message.
	 * @param status the whole status; its number is not used
	 * @param nowMillis the current time
	 * @return the message to send, or nothing if the peer needs none yet
	 */
	public Optional<PeerMessage> next(PeerStatus status, long nowMillis) {
		if (!isDue(status, nowMillis)) {
			return Optional.empty();
		}
		this.lastSentMillis = nowMillis;
		this.sentStopping = status.stopping();
		this.sentConfigurationIndex = status.configurationIndex();
		this.onRequestAccepted = false;
		return Optional.of(message(status, nowMillis));
	}

	private boolean isDue(PeerStatus status, long nowMillis) {
		return this.fullStatusRequired || this.onRequestAccepted
				|| nowMillis - this.lastSentMillis >= this.unchangedPeriodMillis
				|| status.stopping() != this.sentStopping || status.configurationIndex() != this.sentConfigurationIndex
				|| queuesDiffer(status.queues());
	}

	private boolean queuesDiffer(List<QueueStatus> queues) {
		return queues.size() != this.sent.size() || queues.stream().anyMatch(this::differsFromSent);
	}

	private boolean differsFromSent(QueueStatus queue) {
		QueueStatus before = this.sent.get(queue.queue());
		return before == null || differs(before, queue);
	}

	private PeerMessage message(PeerStatus status, long nowMillis) {
		long messageNumber = this.nextNumber++;
		if (this.fullStatusRequired || nowMillis - this.lastFullStatusMillis >= FULL_STATUS_PERIOD_MILLIS) {
			this.fullStatusRequired = false;
			this.lastFullStatusMillis = nowMillis;
			this.sent.clear();
			status.queues().forEach((queue) -> this.sent.put(queue.queue(), queue));
			return new PeerStatus(messageNumber, status.dataCentre(), status.httpAddress(), status.stopping(),
					status.configurationIndex(), status.queues(), status.clockMillis());
		}
		return change(status, messageNumber);
	}

	private PeerStatusChange change(PeerStatus status, long messageNumber) {
		Map<QueueName, QueueStatus> remaining = new TreeMap<>(this.sent);
		List<QueueStatus> changed = new ArrayList<>();
		for (QueueStatus queue : status.queues()) {
			remaining.remove(queue.queue());
			if (differsFromSent(queue)) {
				changed.add(queue);
				this.sent.put(queue.queue(), queue);
			}
		}
		List<QueueName> removed = List.copyOf(remaining.keySet());
		removed.forEach(this.sent::remove);
		return new PeerStatusChange(messageNumber, status.stopping(), status.configurationIndex(), changed, removed);
	}

	private static boolean differs(QueueStatus before, QueueStatus now) {
		long serviceChangeMillis = Math.abs(now.serviceMillis() - before.serviceMillis());
		return before.slots() != now.slots() || before.freeSlots() != now.freeSlots()
				|| before.waiting() != now.waiting()
				|| serviceChangeMillis > before.serviceMillis() / SERVICE_CHANGE_DIVISOR;
	}

}
