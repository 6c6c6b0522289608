package io.burdockpin.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.burdockpin.core.membership.PeerMessage.PeerStatus;
import io.burdockpin.core.membership.PeerMessage.PeerStatusChange;
import io.burdockpin.core.membership.PeerMessage.QueueStatus;
import io.burdockpin.core.model.QueueName;

/**
 * Shortens the status for one peer to what has changed. Mutable, owned by the owner of
 * the connections. Numbers go on over connections, so that a change never applies to a
 * status of an earlier connection when the first frame of the new one is lost.
 */
public final class PeerStatusSender {

	/**
	 * A receiver that has missed a frame, because a buffer was full, hears nothing until
	 * the next whole status.
	 */
	private static final long WHOLE_MILLIS = 5_000;

	/** Smaller changes of the service time do not change a decision. */
	private static final int SERVICE_CHANGE_DIVISOR = 10;

	private final Map<QueueName, QueueStatus> sent = new TreeMap<>();

	private boolean wholeNext = true;

	private long number;

	private long wholeMillis;

	/** Takes note of a new connection, on which the first status is whole. */
	public void connected() {
		this.wholeNext = true;
	}

	/**
	 * Writes the next message.
	 * @param whole the whole status; its number is not used
	 * @param nowMillis the current time
	 * @return the message to send
	 */
	public PeerMessage next(PeerStatus whole, long nowMillis) {
		long nextNumber = this.number++;
		if (this.wholeNext || nowMillis - this.wholeMillis >= WHOLE_MILLIS) {
			this.wholeNext = false;
			this.wholeMillis = nowMillis;
			this.sent.clear();
			whole.queues().forEach((queue) -> this.sent.put(queue.queue(), queue));
			return new PeerStatus(nextNumber, whole.dataCentre(), whole.httpAddress(), whole.stopping(),
					whole.configurationIndex(), whole.queues(), whole.clockMillis());
		}
		return change(whole, nextNumber);
	}

	private PeerStatusChange change(PeerStatus whole, long nextNumber) {
		Map<QueueName, QueueStatus> left = new TreeMap<>(this.sent);
		List<QueueStatus> changed = new ArrayList<>();
		for (QueueStatus queue : whole.queues()) {
			QueueStatus before = left.remove(queue.queue());
			if (before == null || differs(before, queue)) {
				changed.add(queue);
				this.sent.put(queue.queue(), queue);
			}
		}
		List<QueueName> removed = List.copyOf(left.keySet());
		removed.forEach(this.sent::remove);
		return new PeerStatusChange(nextNumber, whole.stopping(), whole.configurationIndex(), changed, removed);
	}

	private static boolean differs(QueueStatus before, QueueStatus now) {
		long serviceChangeMillis = Math.abs(now.serviceMillis() - before.serviceMillis());
		return before.slots() != now.slots() || before.freeSlots() != now.freeSlots()
				|| before.waiting() != now.waiting()
				|| serviceChangeMillis > before.serviceMillis() / SERVICE_CHANGE_DIVISOR;
	}

}
