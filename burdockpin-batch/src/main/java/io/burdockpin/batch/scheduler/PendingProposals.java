package io.burdockpin.batch.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.burdockpin.batch.port.ReplyPort;
import io.burdockpin.core.batch.call.FleetReply;

/**
 * Callers that wait for the commit of their proposals. Mutable; owned by the
 * {@link SchedulerActor}.
 */
final class PendingProposals {

	private final Map<Long, List<ReplyPort>> byTag = new HashMap<>();

	private final Map<Long, List<ReplyPort>> byIndex = new HashMap<>();

	void add(long tag, List<ReplyPort> waiters) {
		this.byTag.put(tag, List.copyOf(waiters));
	}

	void onProposed(long tag, long index) {
		List<ReplyPort> waiters = this.byTag.remove(tag);
		if (waiters != null) {
			this.byIndex.put(index, waiters);
		}
	}

	/**
	 * Sends the replies to the commands of a log entry.
	 * @param index the index of the entry
	 * @param replies one reply for each command of the entry, in the same order
	 */
	void onCommitted(long index, List<FleetReply> replies) {
		List<ReplyPort> waiters = this.byIndex.remove(index);
		if (waiters != null) {
			for (int number = 0; number < waiters.size(); number++) {
				waiters.get(number).send(replies.get(number));
			}
		}
	}

	void onRefused(long tag, FleetReply reply) {
		List<ReplyPort> waiters = this.byTag.remove(tag);
		if (waiters != null) {
			waiters.forEach((waiter) -> waiter.send(reply));
		}
	}

	/**
	 * Tells whether a proposal may still be committed.
	 * @return whether the outcome of a proposal is open
	 */
	boolean hasOpen() {
		return !this.byTag.isEmpty() || !this.byIndex.isEmpty();
	}

	/** Replies that the outcome is unknown, because another leader may commit entries. */
	void failAll() {
		List<ReplyPort> waiters = new ArrayList<>();
		this.byIndex.values().forEach(waiters::addAll);
		this.byIndex.clear();
		waiters.forEach((waiter) -> waiter.send(new FleetReply.Unknown()));
	}

}
