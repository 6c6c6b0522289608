package io.burdockpin.control.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.LongFunction;

import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.state.CommandResult;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Proposals of this leader that wait to be applied, and results that wait for
 * confirmation by the entry hosts. Mutable; owned by the replica actor.
 */
final class PendingProposals {

	/**
	 * A duplicate of a membership change waits for the same entry as the first request,
	 * so an index may have several waiters.
	 */
	private final TreeMap<Long, List<Waiter>> proposed = new TreeMap<>();

	private final List<AwaitedConfirmation> awaitedConfirmations = new ArrayList<>();

	// changes

	void add(long index, Waiter waiter) {
		this.proposed.computeIfAbsent(index, (key) -> new ArrayList<>(1)).add(waiter);
	}

	List<Waiter> remove(long index) {
		return Optional.ofNullable(this.proposed.remove(index)).orElse(List.of());
	}

	void awaitConfirmation(Waiter waiter, long index, long configurationIndex, CommandResult result,
			long deadlineMillis) {
		this.awaitedConfirmations
			.add(new AwaitedConfirmation(waiter, index, configurationIndex, result, deadlineMillis));
	}

	/**
	 * Answers all pending proposals with an unknown outcome, because this member will not
	 * learn their result.
	 */
	void replyUnknownToAll() {
		this.proposed.values()
			.stream()
			.flatMap(List::stream)
			.forEach((waiter) -> waiter.replyTo().tell(new ClientMessage.ProposalUnknown(waiter.correlation())));
		this.proposed.clear();
	}

	/**
	 * Returns the deadline of the next unconfirmed result. All results have the same
	 * timeout, so it is the first one.
	 * @return the deadline in milliseconds, or {@link Long#MAX_VALUE} if there is none
	 */
	long nextDeadlineMillis() {
		return this.awaitedConfirmations.isEmpty() ? Long.MAX_VALUE : this.awaitedConfirmations.get(0).deadlineMillis();
	}

	/**
	 * Sends the results that are confirmed by all data centres or have reached their
	 * deadline.
	 * @param nowMillis the current time in milliseconds
	 * @param unconfirmed returns the unconfirmed data centres of a configuration index
	 */
	void replyToConfirmed(long nowMillis, LongFunction<List<DataCentre>> unconfirmed) {
		this.awaitedConfirmations.removeIf((entry) -> {
			List<DataCentre> missing = unconfirmed.apply(entry.configurationIndex());
			boolean isDone = missing.isEmpty() || nowMillis >= entry.deadlineMillis();
			if (isDone) {
				entry.waiter().reply(entry.index(), entry.result(), missing);
			}
			return isDone;
		});
	}

	/**
	 * A request that waits for a result.
	 *
	 * @param correlation correlation number of the request
	 * @param replyTo receives the reply
	 * @param wantsConfirmation whether the reply waits until the entry hosts have
	 * confirmed a configuration change
	 */
	record Waiter(long correlation, ActorRef<? super ClientMessage> replyTo, boolean wantsConfirmation) {

		void reply(long index, CommandResult result, List<DataCentre> unconfirmed) {
			this.replyTo.tell(new ClientMessage.ProposeReply(this.correlation, index, result, unconfirmed));
		}

	}

	private record AwaitedConfirmation(Waiter waiter, long index, long configurationIndex, CommandResult result,
			long deadlineMillis) {

	}

}
