package io.burdockpin.core.batch.lead.explore;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.burdockpin.core.batch.lead.FleetLeader;
import io.burdockpin.core.batch.lead.LeaderSettings;
import io.burdockpin.core.batch.lead.host.HostEntry;
import io.burdockpin.core.batch.lead.host.HostOrder;
import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.lead.host.HostReply;
import io.burdockpin.core.batch.lead.pool.BalanceSettings;
import io.burdockpin.core.batch.lead.run.RunnerDispatch;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.lead.run.SessionSettings;
import io.burdockpin.core.batch.lead.wave.WaveSettings;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchSnapshot;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.batch.state.CommandResult;
import io.burdockpin.core.batch.state.Run;

/**
 * The scheduler with two members: runs the decision code as {@code SchedulerActor} does.
 * Calls, announcements and decisions that are due together share a proposal; nothing
 * takes effect before it is committed.
 */
final class ModelScheduler {

	static final LeaderSettings SETTINGS = new LeaderSettings(new SessionSettings(4_000, 300, 400, 200, 100, 1_500),
			new WaveSettings(1_000, 500, 1_000, 2_000, 200),
			new BalanceSettings(1_000, 1_700, 2_000, 2_000, 200, 1_000), 10_000, 64);

	private static final int TICK_MILLIS = 40;

	private final VirtualTime time;

	private final ModelLog log;

	private final Outside outside;

	private final List<BatchCommand> queuedCommands = new ArrayList<>();

	/** Receivers of the results of queued commands, by position among these. */
	private final Map<Integer, Consumer<CommandResult>> queuedReplies = new LinkedHashMap<>();

	private List<CommandResult> committedResults = List.of();

	private Member active;

	private Member standby;

	private Optional<FleetLeader> leader = Optional.empty();

	private long term;

	private boolean flushRequested;

	private boolean restartDue;

	ModelScheduler(VirtualTime time, RandomGenerator random, Outside outside) {
		this.time = time;
		this.outside = outside;
		this.log = new ModelLog(time, random, this::apply);
		this.active = new Member(new BatchState(), new HostOrderHistory(time.nowMillis()));
		this.standby = new Member(new BatchState(), new HostOrderHistory(time.nowMillis()));
		time.every(TICK_MILLIS, this::tick);
		lead();
	}

	ModelLog log() {
		return this.log;
	}

	BatchState state() {
		return this.active.state();
	}

	Optional<FleetLeader> leader() {
		return this.leader;
	}

	/** Returns whether both members have the same state. */
	boolean agrees() {
		return ordered(this.active.state().snapshot()).equals(ordered(this.standby.state().snapshot()));
	}

	// The order of the runs of different runners has no meaning and differs after a
	// snapshot was restored.
	private static BatchSnapshot ordered(BatchSnapshot snapshot) {
		List<Run> runs = snapshot.runs().stream().sorted(Comparator.comparing(Run::toString)).toList();
		return new BatchSnapshot(snapshot.configuration(), snapshot.jobs(), snapshot.runners(), runs, snapshot.waves(),
				snapshot.moves(), snapshot.hostOrderMillis(), snapshot.registeredSequences(), snapshot.retiredQueues(),
				snapshot.closedDataCentres());
	}

	// calls

	void call(BatchCommand command, Consumer<CommandResult> onCommitted) {
		if (this.leader.isPresent()) {
			this.queuedReplies.put(this.queuedCommands.size(), onCommitted);
			this.queuedCommands.add(command);
			requestFlush();
		}
	}

	void announce(RunnerRecord runner, long sequence, Runnable onAcknowledged) {
		this.leader.ifPresent((leading) -> {
			Optional<BatchCommand> command = leading.onAnnouncement(runner, sequence, this.time.nowMillis());
			command.ifPresentOrElse((register) -> call(register, (result) -> onAcknowledged.run()), onAcknowledged);
			requestFlush();
		});
	}

	void depart(String id) {
		this.leader.flatMap((leading) -> leading.onDeparture(id, this.time.nowMillis()))
			.ifPresent((command) -> call(command, (result) -> {
			}));
		requestFlush();
	}

	// disturbances

	/** Elects the other member after a time without a leader. */
	void changeLeader(long gapMillis) {
		this.leader = Optional.empty();
		this.restartDue = false;
		this.queuedCommands.clear();
		this.queuedReplies.clear();
		this.log.changeLeader();
		this.term++;
		long elected = this.term;
		this.time.after(gapMillis, () -> {
			if (elected == this.term && this.leader.isEmpty()) {
				Member earlier = this.active;
				this.active = this.standby;
				this.standby = earlier;
				lead();
			}
		});
	}

	/**
	 * Refuses the next proposal, so that the leader starts its decisions again once the
	 * accepted ones are committed.
	 */
	void refuseProposal() {
		if (this.leader.isPresent()) {
			this.queuedCommands.clear();
			this.queuedReplies.clear();
			this.leader = Optional.empty();
			this.restartDue = true;
		}
	}

	/** Replaces the state of the standby member by a restored snapshot. */
	void restoreStandby() {
		this.standby = new Member(BatchState.restore(this.active.state().snapshot()), this.standby.history());
		this.standby.history().onRestored(this.time.nowMillis());
	}

	// helpers

	private void lead() {
		this.restartDue = false;
		this.leader = Optional.of(new FleetLeader(this.active.state(), SETTINGS, this.active.history(), this.term,
				this.time.nowMillis()));
		requestFlush();
	}

	private void tick() {
		if (this.restartDue && this.log.isSettled()) {
			lead();
		}
		requestFlush();
	}

	private void requestFlush() {
		if (!this.flushRequested) {
			this.flushRequested = true;
			this.time.after(1, this::flush);
		}
	}

	private void flush() {
		this.flushRequested = false;
		this.leader.ifPresent(this::decide);
		if (!this.queuedCommands.isEmpty()) {
			Map<Integer, Consumer<CommandResult>> replies = new LinkedHashMap<>(this.queuedReplies);
			this.log.propose(new CommandGroup(this.time.nowMillis(), List.copyOf(this.queuedCommands)),
					() -> replies.forEach((position, reply) -> reply.accept(this.committedResults.get(position))));
			this.queuedCommands.clear();
			this.queuedReplies.clear();
		}
	}

	private void decide(FleetLeader leading) {
		long nowMillis = this.time.nowMillis();
		leading.decide(nowMillis, nowMillis);
		long sentTerm = this.term;
		// Replies to dropped decisions reach those that started again in the same term.
		leading.dueOrders(nowMillis)
			.forEach((dispatch) -> this.outside.send(dispatch,
					(reply) -> this.leader.filter((present) -> sentTerm == this.term).ifPresent((present) -> {
						present.onReply(dispatch, reply, this.time.nowMillis());
						requestFlush();
					})));
		leading.dueHostOrders(nowMillis).forEach((order) -> this.outside.send(order, (reply) -> {
			if (isLeading(leading)) {
				leading.onHostReply(order, reply, this.time.nowMillis());
				requestFlush();
			}
		}));
		if (leading.startHostListIfDue(nowMillis)) {
			leading.onHostList(this.outside.hostList());
		}
		this.queuedCommands.addAll(leading.drainProposals());
	}

	private boolean isLeading(FleetLeader leading) {
		return this.leader.filter((present) -> present == leading).isPresent();
	}

	private void apply(CommandGroup group) {
		applyTo(this.standby, group);
		this.committedResults = applyTo(this.active, group);
		this.leader.ifPresent(
				(leading) -> group.commands().forEach((command) -> leading.onApplied(command, this.time.nowMillis())));
		requestFlush();
	}

	private List<CommandResult> applyTo(Member member, CommandGroup group) {
		List<CommandResult> results = member.state().apply(group);
		for (int number = 0; number < results.size(); number++) {
			if (results.get(number) == CommandResult.APPLIED) {
				member.history().onApplied(group.commands().get(number), this.term, this.time.nowMillis());
			}
		}
		return results;
	}

	private record Member(BatchState state, HostOrderHistory history) {

	}

	/** What the scheduler sends its orders to. */
	interface Outside {

		void send(RunnerDispatch dispatch, Consumer<RunnerReply> reply);

		void send(HostOrder order, Consumer<HostReply> reply);

		List<HostEntry> hostList();

	}

}
