package io.burdockpin.core.batch.lead;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.lead.run.RunnerDispatch;
import io.burdockpin.core.batch.lead.run.RunnerOrder;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;

/**
 * Simulates a new leader whose host handles one connection at a time, in virtual time.
 * Connections that have timed out cost as much time as others.
 */
final class SlowLeaderSimulation {

	private static final long STEP_MILLIS = 10;

	private final List<BatchCommand.RegisterRunner> runners = new ArrayList<>();

	private final FleetLeader leader;

	private final long workMillis;

	private final List<PendingOrder> pending = new ArrayList<>();

	private long nowMillis = 1_000;

	private long busyUntilMillis;

	/**
	 * Elects a leader.
	 * @param runnerCount number of runners, which answer immediately
	 * @param workMillis time that the leader's host needs for a connection
	 */
	SlowLeaderSimulation(int runnerCount, long workMillis) {
		this.workMillis = workMillis;
		BatchState state = new BatchState();
		for (int number = 0; number < runnerCount; number++) {
			this.runners.add(BatchFixtures.register(BatchFixtures.runner("runner" + number, "pool", 1)));
		}
		state.apply(new CommandGroup(this.nowMillis, List.copyOf(this.runners)));
		this.leader = new FleetLeader(state, SimulatedFleet.SETTINGS, new HostOrderHistory(0), 2, this.nowMillis);
	}

	void run(long millis) {
		for (long untilMillis = this.nowMillis + millis; this.nowMillis < untilMillis; this.nowMillis += STEP_MILLIS) {
			answer();
			this.leader.dueOrders(this.nowMillis).forEach(this::send);
		}
	}

	long contactedCount() {
		return this.runners.stream()
			.filter((command) -> this.leader.session(command.runner().key()).get().hasBeenContacted())
			.count();
	}

	private void send(RunnerDispatch dispatch) {
		boolean isNew = !this.leader.session(dispatch.runner().key()).get().hasBeenContacted();
		this.busyUntilMillis = Math.max(this.busyUntilMillis, this.nowMillis) + (isNew ? this.workMillis : 1);
		int waitMillis = (dispatch.order() instanceof RunnerOrder.Heartbeat heartbeat) ? heartbeat.waitMillis() : 0;
		this.pending.add(new PendingOrder(dispatch, this.busyUntilMillis + waitMillis,
				this.nowMillis + dispatch.answerTimeoutMillis() + waitMillis));
	}

	private void answer() {
		List<PendingOrder> due = this.pending.stream().filter((order) -> order.endMillis() <= this.nowMillis).toList();
		this.pending.removeAll(due);
		due.forEach((order) -> this.leader.onReply(order.dispatch(),
				order.isInTime()
						? new RunnerReply.Listing(this.nowMillis, OptionalLong.of(1), List.of(), List.of(), true)
						: RunnerReply.NoAnswer.UNKNOWN,
				this.nowMillis));
	}

	private record PendingOrder(RunnerDispatch dispatch, long answerAtMillis, long timeoutMillis) {

		private boolean isInTime() {
			return this.answerAtMillis <= this.timeoutMillis;
		}

		private long endMillis() {
			return Math.min(this.answerAtMillis, this.timeoutMillis);
		}

	}

}
