package io.burdockpin.core.batch.lead;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;

import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.lead.run.RunnerDispatch;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;

/** Simulates a new leader and its runners in virtual time; some runners never answer. */
final class FirstContactSimulation {

	private static final long STEP_MILLIS = 10;

	private final FleetLeader leader;

	private final int silentCount;

	private final long answerMillis;

	private final List<PendingOrder> pending = new ArrayList<>();

	private final Set<RunnerKey> contacted = new HashSet<>();

	private long nowMillis = 1_000;

	private int maximumBurst;

	private int maximumPending;

	/**
	 * Elects a leader.
	 * @param runnerCount number of runners
	 * @param silentCount number of runners that never answer
	 * @param answerMillis delay of the other runners' answers
	 */
	FirstContactSimulation(int runnerCount, int silentCount, long answerMillis) {
		this.silentCount = silentCount;
		this.answerMillis = answerMillis;
		BatchState state = new BatchState();
		List<BatchCommand> runners = new ArrayList<>();
		for (int number = 0; number < runnerCount; number++) {
			runners.add(BatchFixtures.register(BatchFixtures.runner("runner" + number, "pool", 1)));
		}
		state.apply(new CommandGroup(this.nowMillis, runners));
		this.leader = new FleetLeader(state, SimulatedFleet.SETTINGS, new HostOrderHistory(0), 2, this.nowMillis);
	}

	void run(long millis) {
		for (long untilMillis = this.nowMillis + millis; this.nowMillis < untilMillis; this.nowMillis += STEP_MILLIS) {
			answer();
			List<RunnerDispatch> due = this.leader.dueOrders(this.nowMillis);
			due.forEach((dispatch) -> this.pending.add(new PendingOrder(dispatch, this.nowMillis)));
			due.forEach((dispatch) -> this.contacted.add(dispatch.runner().key()));
			long first = due.stream().filter((dispatch) -> !hasBeenContacted(dispatch)).count();
			this.maximumBurst = Math.max(this.maximumBurst, (int) first);
			long pendingCount = this.pending.stream().filter((order) -> !hasBeenContacted(order.dispatch())).count();
			this.maximumPending = Math.max(this.maximumPending, (int) pendingCount);
		}
	}

	int contactedCount() {
		return this.contacted.size();
	}

	int maximumBurst() {
		return this.maximumBurst;
	}

	int maximumPending() {
		return this.maximumPending;
	}

	private void answer() {
		List<PendingOrder> due = this.pending.stream().filter(this::isDue).toList();
		this.pending.removeAll(due);
		due.forEach((order) -> this.leader.onReply(order.dispatch(),
				isSilent(order) ? RunnerReply.NoAnswer.UNKNOWN
						: new RunnerReply.Listing(this.nowMillis, OptionalLong.of(1), List.of(), List.of(), true),
				this.nowMillis));
	}

	private boolean isDue(PendingOrder order) {
		long elapsedMillis = this.nowMillis - order.sentMillis();
		return elapsedMillis >= (isSilent(order) ? order.dispatch().answerTimeoutMillis() : this.answerMillis);
	}

	private boolean hasBeenContacted(RunnerDispatch dispatch) {
		return this.leader.session(dispatch.runner().key()).get().hasBeenContacted();
	}

	private boolean isSilent(PendingOrder order) {
		return Integer.parseInt(order.dispatch().runner().key().id().substring("runner".length())) < this.silentCount;
	}

	private record PendingOrder(RunnerDispatch dispatch, long sentMillis) {

	}

}
