package io.burdockpin.core.batch.lead.pool;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.burdockpin.core.batch.lead.host.HandOverPause;
import io.burdockpin.core.batch.lead.host.HostOrder;
import io.burdockpin.core.batch.lead.host.HostOrderTracker;
import io.burdockpin.core.batch.lead.host.HostReply;
import io.burdockpin.core.batch.lead.run.RunnerSession;
import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.HostMove;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.MovePhase;

/**
 * Carries out host moves: a move is committed, then ordered from the platform, and ends
 * when the host has arrived. Handles orders without a reply, orders of an earlier leader
 * and hosts that get a task just before their move is committed. Not thread-safe; owned
 * by the leader.
 */
final class HostMoves {

	private final BatchState state;

	private final BalanceSettings settings;

	private final long fencingToken;

	private final long electedMillis;

	private final HostOrderTracker orders;

	/** Selects hosts in closed data centres. */
	private final Predicate<String> isClosedHost;

	private final Map<String, Long> movedMillis = new HashMap<>();

	/** Hosts with a proposed move that is not committed yet. */
	private final Set<String> proposedHosts = new HashSet<>();

	private final List<BatchCommand> proposals = new ArrayList<>();

	/**
	 * Creates an instance without moves of its own; those of earlier leaders are in the
	 * replicated state.
	 * @param state replicated state
	 * @param settings settings for rebalancing
	 * @param pause delay after orders of earlier leaders
	 * @param isClosedHost selects hosts in closed data centres, of which moves are
	 * withdrawn
	 * @param fencingToken term of this leader
	 * @param electedMillis monotonic time at which this leader was elected
	 */
	HostMoves(BatchState state, BalanceSettings settings, HandOverPause pause, Predicate<String> isClosedHost,
			long fencingToken, long electedMillis) {
		this.state = state;
		this.settings = settings;
		this.isClosedHost = isClosedHost;
		this.fencingToken = fencingToken;
		this.electedMillis = electedMillis;
		this.orders = new HostOrderTracker(pause, settings.retryMillis());
	}

	boolean isMoving(String host) {
		return this.state.moves().containsKey(host) || this.proposedHosts.contains(host);
	}

	void onMoveCommitted(String host) {
		this.proposedHosts.remove(host);
	}

	/**
	 * Checks whether a move of a host may begin.
	 * @param host name of the host
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if no move is under way, the retry delay and the delay after
	 * an earlier leader's order have elapsed
	 */
	boolean canBegin(String host, long nowMillis) {
		return !isMoving(host) && this.orders.canBegin(host, nowMillis);
	}

	boolean isRetryDue(String host, long nowMillis) {
		return this.orders.isRetryDue(host, nowMillis);
	}

	/**
	 * Checks whether a host has stayed in its pool for the minimum time after its latest
	 * move.
	 * @param host name of the host
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if this leader has not moved the host within that time
	 */
	boolean hasStayed(String host, long nowMillis) {
		return Optional.ofNullable(this.movedMillis.get(host))
			.filter((moved) -> nowMillis - moved < this.settings.minimumStayMillis())
			.isEmpty();
	}

	/**
	 * Proposes the move of a host.
	 * @param host name of the host
	 * @param pool target pool
	 */
	void propose(String host, String pool) {
		this.proposedHosts.add(host);
		this.orders.begin(host);
		this.proposals.add(new BatchCommand.SetMove(host, pool, MovePhase.ORDERED));
	}

	/**
	 * Advances all moves.
	 * @param sessions sessions with the runners
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return hosts that have arrived in the spare pool
	 */
	List<String> advance(Map<RunnerKey, RunnerSession> sessions, long nowMillis) {
		List<String> poweredOff = new ArrayList<>();
		this.state.moves().values().forEach((move) -> {
			if (!move.begun() && (canCancel(move, nowMillis) || isWithdrawn(move))) {
				// A task was assigned to the host before the move was committed, or its
				// data centre was closed.
				finish(move);
			}
			else if (!move.begun()) {
				this.orders.sendIfDue(new HostOrder.Move(this.fencingToken, move.host(), move.pool()), nowMillis);
			}
			else if (isToSparePool(move)) {
				if (hasBegunLongerAgoThan(move, this.settings.lookAheadMillis(), nowMillis)) {
					finish(move);
					this.movedMillis.remove(move.host());
					poweredOff.add(move.host());
				}
			}
			else if (hasArrived(move, sessions, nowMillis)) {
				finish(move);
			}
		});
		return poweredOff;
	}

	/**
	 * Handles the reply to an order.
	 * @param order order that was sent
	 * @param reply reply, or the reason why there is none
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	void onReply(HostOrder.Move order, HostReply reply, long nowMillis) {
		this.orders.onReply(order.host(), reply, nowMillis);
		switch (reply) {
			case DONE -> {
				this.movedMillis.put(order.host(), nowMillis);
				// The move ended the runner, so the leader stops contacting it.
				Optional.ofNullable(this.state.moves().get(order.host()))
					.filter((move) -> move.pool().equals(order.pool()))
					.flatMap(HostMove::lifeBefore)
					.ifPresent((incarnation) -> this.proposals.add(new BatchCommand.RemoveRunner(incarnation)));
				this.proposals.add(new BatchCommand.SetMove(order.host(), order.pool(), MovePhase.BEGUN));
			}
			case HOST_NOT_UP, UNKNOWN_HOST ->
				this.proposals.add(new BatchCommand.SetMove(order.host(), order.pool(), MovePhase.OVER));
			default -> {
				// The order may have been carried out, so it is sent again.
			}
		}
	}

	/**
	 * Returns and clears the proposed commands.
	 * @return commands to commit, in order
	 */
	List<BatchCommand> drainProposals() {
		List<BatchCommand> drained = List.copyOf(this.proposals);
		this.proposals.clear();
		return drained;
	}

	/**
	 * Returns and clears the orders to send.
	 * @return orders to send
	 */
	List<HostOrder> drainOrders() {
		return this.orders.drainOrders();
	}

	// A host in the spare pool is powered off, so no runner announces its arrival.
	private boolean isToSparePool(HostMove move) {
		return this.state.configuration()
			.flatMap((configuration) -> configuration.pool(move.pool()))
			.filter(BatchPool::spare)
			.isPresent();
	}

	private boolean hasBegunLongerAgoThan(HostMove move, long millis, long nowMillis) {
		return nowMillis - this.movedMillis.getOrDefault(move.host(), this.electedMillis) > millis;
	}

	private boolean isWithdrawn(HostMove move) {
		return this.isClosedHost.test(move.host()) && !this.orders.isInFlight(move.host());
	}

	// An earlier leader may have sent its order just before the election.
	private boolean canCancel(HostMove move, long nowMillis) {
		return !this.orders.isSent(move.host()) && this.orders.canResend(move.host(), nowMillis)
				&& move.lifeBefore().filter((incarnation) -> !this.state.runs().on(incarnation).isEmpty()).isPresent();
	}

	private void finish(HostMove move) {
		if (this.proposedHosts.add(move.host())) {
			this.proposals.add(new BatchCommand.SetMove(move.host(), move.pool(), MovePhase.OVER));
		}
	}

	private boolean hasArrived(HostMove move, Map<RunnerKey, RunnerSession> sessions, long nowMillis) {
		Optional<RunnerRecord> runner = this.state.runnerOn(move.host())
			.filter((known) -> known.pool().equals(move.pool()));
		boolean isOverdue = hasBegunLongerAgoThan(move, 4L * this.settings.lookAheadMillis(), nowMillis);
		return isOverdue || runner.map((known) -> sessions.get(known.key()))
			.filter((session) -> session.isResponsive(nowMillis))
			.isPresent();
	}

}
