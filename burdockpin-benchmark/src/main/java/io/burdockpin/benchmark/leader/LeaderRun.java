package io.burdockpin.benchmark.leader;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;

import io.burdockpin.core.batch.lead.FleetLeader;
import io.burdockpin.core.batch.lead.LeaderSettings;
import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.lead.pool.BalanceSettings;
import io.burdockpin.core.batch.lead.run.RunnerDispatch;
import io.burdockpin.core.batch.lead.run.SessionSettings;
import io.burdockpin.core.batch.lead.wave.WaveSettings;
import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.QueueAddress;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.Workspace;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;

/**
 * A leader and runners without faults in virtual time. Measures the processor time of the
 * leader's decisions, and that of its watch for overdue work within it. The leader
 * decides at each tick only, in fact also with each message, so the share of the watch is
 * rather overstated.
 */
final class LeaderRun {

	private static final long START_MILLIS = 1_000_000;

	/** As the scheduler's timer. */
	private static final long TICK_MILLIS = 40;

	private static final long WARM_UP_MILLIS = 20_000;

	private static final int POOLS = 23;

	private static final int TASKS_PER_JOB = 5;

	private static final int TASK_MILLIS = 3_000;

	/** A task of this many or more thousandths of a core fits on no runner. */
	private static final int TOO_MANY_MILLICORES = StandInRunner.CAPACITY.cpuMillicores() + 1;

	private static final LeaderSettings SETTINGS = new LeaderSettings(
			new SessionSettings(6_000, 1_000, 700, 300, 150, 2_200), new WaveSettings(3_000, 3_000, 2_000, 5_000, 400),
			new BalanceSettings(3_000, 1_700, 1_500, 2_500, 400, 1_500), 60_000, 64);

	private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

	private final Load load;

	private final BatchState state = new BatchState();

	private final Map<RunnerKey, StandInRunner> runners = new HashMap<>();

	private final Queue<RunnerDispatch> sent = new ArrayDeque<>();

	private final FleetLeader leader;

	private long nowMillis = START_MILLIS;

	private int jobCount;

	private long leaderNanos;

	private long watchNanos;

	private int reportCount;

	LeaderRun(Load load) {
		this.load = load;
		List<BatchQueue> queues = new ArrayList<>();
		List<BatchPool> pools = new ArrayList<>();
		for (int number = 0; number < POOLS; number++) {
			queues.add(new BatchQueue("queue" + number, "host", "/queue" + number + "/", false, "pool" + number, 0, 3,
					5_000, 600, 1.6));
			pools.add(new BatchPool("pool" + number, false, false));
		}
		apply(List.of(new BatchCommand.SetConfiguration(new FleetConfiguration(1, queues, pools,
				List.of(new Workspace("team", Set.of("key"), 1, Resources.NONE)), Payload.EMPTY))));
		for (int number = 0; number < load.runners(); number++) {
			StandInRunner runner = new StandInRunner(number, "pool" + number % POOLS, TASK_MILLIS);
			this.runners.put(runner.runner().key(), runner);
			apply(List.of(new BatchCommand.RegisterRunner(runner.runner(), OptionalLong.of(1))));
		}
		for (int number = 0; number < load.waitingJobs(); number++) {
			submit(1, TOO_MANY_MILLICORES + number);
		}
		this.leader = new FleetLeader(this.state, SETTINGS, new HostOrderHistory(START_MILLIS), 1, START_MILLIS);
	}

	/**
	 * Runs the leader for some virtual time.
	 * @param millis time to measure, after a warm-up
	 * @return the processor time used in it
	 */
	Cost run(long millis) {
		advance(WARM_UP_MILLIS);
		this.leaderNanos = 0;
		this.watchNanos = 0;
		advance(millis);
		double seconds = millis / 1_000.0;
		int runs = this.state.runs().runners().stream().mapToInt((key) -> this.state.runs().on(key).size()).sum();
		return new Cost(this.load, runs, this.leaderNanos / 1e6 / seconds, this.watchNanos / 1e6 / seconds,
				this.reportCount);
	}

	private void advance(long millis) {
		long untilMillis = this.nowMillis + millis;
		while (this.nowMillis < untilMillis) {
			this.nowMillis += TICK_MILLIS;
			long dueJobs = (this.nowMillis - START_MILLIS) * this.load.jobsPerSecond() / 1_000
					+ this.load.waitingJobs();
			while (this.jobCount < dueJobs) {
				submit(TASKS_PER_JOB, 1_000);
			}
			tick();
		}
	}

	private void tick() {
		long startNanos = this.threads.getCurrentThreadCpuTime();
		while (!this.sent.isEmpty()) {
			RunnerDispatch dispatch = this.sent.remove();
			this.leader.onReply(dispatch,
					this.runners.get(dispatch.runner().key()).handle(dispatch.order(), this.nowMillis), this.nowMillis);
		}
		this.leader.decide(this.nowMillis, this.nowMillis);
		long decidedNanos = this.threads.getCurrentThreadCpuTime();
		this.reportCount += this.leader.reportOverdueIfDue(this.nowMillis).size();
		long watchedNanos = this.threads.getCurrentThreadCpuTime();
		this.sent.addAll(this.leader.dueOrders(this.nowMillis));
		List<BatchCommand> proposals = this.leader.drainProposals();
		if (!proposals.isEmpty()) {
			apply(proposals);
			proposals.forEach((command) -> this.leader.onApplied(command, this.nowMillis));
		}
		this.watchNanos += watchedNanos - decidedNanos;
		this.leaderNanos += this.threads.getCurrentThreadCpuTime() - startNanos;
	}

	private void submit(int tasks, int millicores) {
		StepSpec step = new StepSpec(tasks, new Resources(millicores, 1_000, 0), TASK_MILLIS, List.of(), false, false,
				false, Optional.empty(), Optional.empty(), OptionalInt.empty(), false, false, Optional.empty(),
				OptionalInt.empty(), false, 0);
		String id = "job%d".formatted(this.jobCount);
		String queue = "queue%d".formatted(this.jobCount % POOLS);
		apply(List
			.of(new BatchCommand.SubmitJob(id, queue, "team", new JobSpec("specification", List.of(step), 0, 0, 0),
					Optional.of(new QueueAddress("host", "/" + queue + "/")))));
		this.jobCount++;
	}

	private void apply(List<BatchCommand> commands) {
		this.state.apply(new CommandGroup(this.nowMillis, commands));
	}

	/**
	 * Load of a leader.
	 *
	 * @param runners registered runners
	 * @param jobsPerSecond submitted jobs of five tasks
	 * @param waitingJobs jobs that fit on no runner, each of another size
	 */
	record Load(int runners, int jobsPerSecond, int waitingJobs) {

	}

	/**
	 * Processor time of a leader.
	 *
	 * @param load the load
	 * @param runs runs in progress at the end
	 * @param leaderMillis of the leader, in milliseconds for each second
	 * @param watchMillis of its watch, which is part of it
	 * @param reports number of reports about overdue work, 0 since there are no faults
	 */
	record Cost(Load load, int runs, double leaderMillis, double watchMillis, int reports) {

		double watchPercent() {
			return 100 * this.watchMillis / this.leaderMillis;
		}

	}

}
