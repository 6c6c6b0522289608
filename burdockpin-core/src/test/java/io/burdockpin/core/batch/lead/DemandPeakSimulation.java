package io.burdockpin.core.batch.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.IntToDoubleFunction;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.LongStream;

import io.burdockpin.core.batch.lead.host.HostEntry;
import io.burdockpin.core.batch.lead.host.HostOrder;
import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.lead.host.HostReply;
import io.burdockpin.core.batch.lead.overdue.OverdueReport;
import io.burdockpin.core.batch.lead.run.RunnerDispatch;
import io.burdockpin.core.batch.lead.run.RunnerOrder;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.model.Workspace;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;

/**
 * Simulates a fleet in virtual time whose queues have demand peaks one after the other,
 * each above the capacity of its pool. Runners and the platform are free of faults; the
 * platform carries out host orders one at a time. Reports the share of the jobs that meet
 * their objective and the cost of the hosts.
 */
public final class DemandPeakSimulation {

	private static final long START_MILLIS = 1_000_000;

	/** Time from the start to the submission of the long-running steps. */
	private static final int SERVING_MILLIS = 9_000;

	private static final int MOVE_MILLIS = 1_500;

	/** Share of a peak during which the demand rises. */
	private static final double RISING_SHARE = 0.4;

	private static final int DATA_CENTRES = 3;

	private static final int MAINTENANCE_MILLIS = 2_000;

	/** Time after which a long-running task serves its users in full. */
	private static final int SERVING_START_MILLIS = 1_500;

	private static final int COMMIT_MILLIS = 12;

	private static final int ROUND_TRIP_MILLIS = 6;

	private static final int ROUND_MILLIS = 15;

	private static final double STRETCH = 1.6;

	private static final int TARGET_MILLIS = 600;

	private static final int WORKSPACES = 4;

	/** Time after a load in which its last jobs end. */
	private static final int AFTER_LOAD_MILLIS = 3_000;

	private static final int STRAGGLER_FACTOR = 7;

	private static final int HOSTS_PER_RACK = 12;

	private final FleetSpec spec;

	private final Random random;

	private final LeaderSettings settings;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));

	private final BatchState state = new BatchState();

	private final Map<String, String> poolOfHost = new LinkedHashMap<>();

	private final Map<RunnerKey, Runner> runners = new HashMap<>();

	private final Map<String, JobTimes> jobs = new LinkedHashMap<>();

	private final List<OverdueReport> overdueReports = new ArrayList<>();

	private final FleetLeader leader;

	private long nowMillis = START_MILLIS;

	private long pausedFromMillis = Long.MAX_VALUE;

	private long pausedUntilMillis;

	private long cutFromMillis = Long.MAX_VALUE;

	private long cutUntilMillis;

	private long waveStartedMillis;

	private long waveCompletedMillis;

	private long eventCount;

	private long hostMillis;

	private int moves;

	private int runnerCount;

	private int jobCount;

	private Optional<DemandLoad> load = Optional.empty();

	private final Map<HostUse, Long> heldMillis = new EnumMap<>(HostUse.class);

	/** Capacity that tasks have reserved on busy hosts. */
	private double reservedHostMillis;

	private Optional<KnownDemandPlan> knownDemand = Optional.empty();

	public DemandPeakSimulation(FleetSpec spec, LeaderSettings settings, long seed) {
		this.spec = spec;
		this.settings = settings;
		this.random = new Random(seed);
		List<BatchQueue> queues = new ArrayList<>();
		List<BatchPool> pools = new ArrayList<>(List.of(new BatchPool("spare", false, true)));
		for (int number = 0; number < spec.pools(); number++) {
			queues.add(queue("work" + number, number, TARGET_MILLIS));
			queues.add(queue("serve" + number, number, 2_500));
			pools.add(new BatchPool("pool" + number, false, false));
		}
		commit(List.of(new BatchCommand.SetConfiguration(new FleetConfiguration(1, queues, pools,
				IntStream.range(0, WORKSPACES)
					.mapToObj((number) -> new Workspace("team" + number, Set.of("key" + number), 1, Resources.NONE))
					.toList(),
				Payload.EMPTY))));
		this.leader = new FleetLeader(this.state, settings, new HostOrderHistory(0), 1, this.nowMillis);
		for (int host = 0; host < spec.hosts(); host++) {
			int pool = host % (spec.pools() + 1);
			boolean spare = pool == spec.pools();
			this.poolOfHost.put("host" + host, spare ? "spare" : "pool" + pool);
			if (!spare) {
				startRunner("host" + host);
			}
		}
		at(0, this::decide);
		at(0, this::listHosts);
	}

	/** Starts the long-running steps and then runs one peak per queue. */
	public void runAllPeaks() {
		for (int number = 0; number < this.spec.pools(); number++) {
			int pool = number;
			at(SERVING_MILLIS, () -> submitServing(pool));
		}
		long firstTurnMillis = this.spec.warmUpMillis();
		for (int number = 0; number < this.spec.pools(); number++) {
			schedulePeak(number, firstTurnMillis + number * this.spec.peakMillis());
		}
		run(firstTurnMillis + (this.spec.pools() + 1) * this.spec.peakMillis());
	}

	/**
	 * Starts the long-running steps and then runs a load.
	 * @param traffic load of the queues
	 */
	public void runLoad(DemandLoad traffic) {
		this.load = Optional.of(traffic);
		KnownDemandPlan plan = new KnownDemandPlan(this.spec.pools(),
				this.spec.warmUpMillis() + traffic.totalMillis() + AFTER_LOAD_MILLIS);
		this.knownDemand = Optional.of(plan);
		for (int number = 0; number < this.spec.pools(); number++) {
			int pool = number;
			at(SERVING_MILLIS, () -> submitServing(pool));
			plan.add(pool, SERVING_MILLIS, Integer.MAX_VALUE, this.spec.servingTasks()
					* Math.max(1.0 / this.spec.servingPerHost(), shareOfHost(this.spec.servingTask())));
			for (long offset = 0; offset < traffic.totalMillis(); offset += 5) {
				if (this.random.nextDouble() < traffic.ratePerSecond(pool, offset) * 0.005) {
					at(this.spec.warmUpMillis() + offset, () -> submitWork(pool));
				}
			}
		}
		run(this.spec.warmUpMillis() + traffic.totalMillis());
		run(AFTER_LOAD_MILLIS);
		plan.plan();
	}

	private double shareOfHost(Resources resources) {
		return Math.max((double) resources.cpuMillicores() / this.spec.host().cpuMillicores(),
				(double) resources.memoryMebibytes() / this.spec.host().memoryMebibytes());
	}

	/** Returns the host-seconds in pools for each use. */
	public Map<HostUse, Long> hostSecondsByUse() {
		Map<HostUse, Long> seconds = new EnumMap<>(HostUse.class);
		this.heldMillis.forEach((use, millis) -> seconds.put(use, millis / 1_000));
		return seconds;
	}

	/**
	 * Returns the host-seconds that tasks have reserved on hosts without long-running
	 * tasks.
	 */
	public long reservedHostSeconds() {
		return (long) (this.reservedHostMillis / 1_000);
	}

	/** Returns the cost of the hosts with all demand known; empty without a load. */
	public Optional<KnownDemandPlan> knownDemand() {
		return this.knownDemand;
	}

	/** Returns the smallest share of jobs in time of all pools. */
	public double lowestOnTimeShare() {
		return IntStream.range(0, this.spec.pools()).mapToDouble(this::onTimeShare).min().orElseThrow();
	}

	/**
	 * Starts a maintenance wave for nearly half of the hosts shortly after the first peak
	 * begins.
	 */
	public void scheduleWave() {
		List<String> hosts = this.poolOfHost.keySet()
			.stream()
			.filter((host) -> this.random.nextDouble() < 0.46)
			.toList();
		at(this.spec.warmUpMillis() + 1_100, () -> {
			this.waveStartedMillis = this.nowMillis;
			commitLater(List.of(new BatchCommand.StartWave(
					new MaintenanceWave(1, hosts, 28_000, this.spec.hosts() / 6, this.nowMillis))));
		});
	}

	/**
	 * Pauses the leader's decisions, as during a change of leader.
	 * @param afterMillis time from the start of the first peak to the start of the pause
	 * @param millis duration of the pause
	 */
	public void pauseLeader(long afterMillis, long millis) {
		this.pausedFromMillis = START_MILLIS + this.spec.warmUpMillis() + afterMillis;
		this.pausedUntilMillis = this.pausedFromMillis + millis;
	}

	/**
	 * Cuts off a third of the hosts, as when a data centre cannot be reached. Their tasks
	 * go on.
	 * @param afterMillis time from the start of the first peak to the start of the cut
	 * @param millis duration of the cut
	 */
	public void cutOffOneDataCentre(long afterMillis, long millis) {
		this.cutFromMillis = START_MILLIS + this.spec.warmUpMillis() + afterMillis;
		this.cutUntilMillis = this.cutFromMillis + millis;
	}

	/**
	 * Returns the share of the jobs of one peak that met their objective, weighted by
	 * work.
	 * @param pool number of the pool with the peak
	 * @return share from 0 to 1
	 */
	public double onTimeShare(int pool) {
		return onTimeShare(this.jobs.values().stream().filter((job) -> job.pool() == pool).toList());
	}

	/** Returns the share of all jobs that met their objective, weighted by work. */
	public double onTimeShare() {
		return onTimeShare(this.jobs.values());
	}

	/**
	 * Returns the share of the jobs of one workspace that met their objective, weighted
	 * by work.
	 * @param workspace number of the workspace
	 * @return share from 0 to 1
	 */
	public double onTimeShareOfWorkspace(int workspace) {
		return onTimeShare(this.jobs.values().stream().filter((job) -> job.workspace() == workspace).toList());
	}

	/**
	 * Returns the share of the jobs in a range of sizes that met their objective.
	 * @param from lower end of the range, as a share of all jobs in the order of their
	 * work
	 * @param to upper end of the range
	 * @return share from 0 to 1
	 */
	public double onTimeShareBySize(double from, double to) {
		List<JobTimes> sorted = this.jobs.values().stream().sorted(Comparator.comparingDouble(JobTimes::work)).toList();
		int count = sorted.size();
		return onTimeShare(sorted.subList((int) (from * count), (int) (to * count)));
	}

	/** Returns the figures of all classes of jobs as one line. */
	public String describe() {
		return String.format(Locale.ROOT,
				"%d jobs, in time %.3f by weight (smallest 0.7: %.3f, next 0.2: %.3f, largest 0.1: %.3f; queues %s; "
						+ "workspaces %s)",
				this.jobs.size(), onTimeShare(), onTimeShareBySize(0, 0.7), onTimeShareBySize(0.7, 0.9),
				onTimeShareBySize(0.9, 1), shares(this.spec.pools(), this::onTimeShare),
				shares(WORKSPACES, this::onTimeShareOfWorkspace));
	}

	private static String shares(int count, IntToDoubleFunction share) {
		return IntStream.range(0, count)
			.mapToObj((number) -> String.format(Locale.ROOT, "%.3f", share.applyAsDouble(number)))
			.collect(Collectors.joining(" "));
	}

	private static double onTimeShare(Collection<JobTimes> counted) {
		double total = 0;
		double onTime = 0;
		for (JobTimes job : counted) {
			total += job.weight();
			onTime += (job.endMillis() > 0 && job.endMillis() <= job.objectiveMillis()) ? job.weight() : 0;
		}
		return onTime / total;
	}

	/** Returns the time that the wave took, or infinity if it is not completed. */
	public double waveSeconds() {
		return (this.waveCompletedMillis > 0) ? (this.waveCompletedMillis - this.waveStartedMillis) / 1_000.0
				: Double.POSITIVE_INFINITY;
	}

	public long hostSeconds() {
		return this.hostMillis / 1_000;
	}

	public int moves() {
		return this.moves;
	}

	/** Returns the mean time that the long-running tasks waited for their start. */
	public double servingWaitSeconds() {
		return this.runners.values()
			.stream()
			.flatMapToLong((runner) -> runner.servingWaitMillis.stream().mapToLong((wait) -> wait))
			.average()
			.orElse(Double.NaN) / 1_000;
	}

	private void schedulePeak(int pool, long startMillis) {
		for (long offset = 0; offset < this.spec.peakMillis(); offset += 10) {
			double rate = this.spec.peakPerSecond() * ramp((double) offset / this.spec.peakMillis());
			if (this.random.nextDouble() < rate / 100) {
				at(startMillis + offset, () -> submitWork(pool));
			}
		}
	}

	private static double ramp(double share) {
		return (share < RISING_SHARE) ? 0.2 + 0.8 * share / RISING_SHARE : (1 - share) / (1 - RISING_SHARE);
	}

	private void submitWork(int pool) {
		int workspace = this.jobCount % WORKSPACES;
		String id = "job" + this.jobCount++;
		int stepCount = (this.random.nextDouble() < 0.5) ? 1 : 2;
		List<StepSpec> steps = new ArrayList<>();
		int cpuMillicores = (int) sampleLogNormal(this.spec.task().cpuMillicores(), 0.45, 3);
		int mebibytes = (int) sampleLogNormal(this.spec.task().memoryMebibytes(), 0.6, 3);
		double chainMillis = 0;
		double work = 0;
		List<List<Long>> durations = new ArrayList<>();
		for (int step = 0; step < stepCount; step++) {
			int width = (int) Math.max(1, sampleLogNormal(8, 0.6, 4));
			long millis = (long) sampleLogNormal(this.spec.workMillis(), 0.5, 2.5);
			List<Long> taskMillis = LongStream.range(0, width)
				.map((task) -> isStraggler() ? STRAGGLER_FACTOR * millis : millis)
				.boxed()
				.toList();
			durations.add(taskMillis);
			long startMillis = this.nowMillis - START_MILLIS + (long) chainMillis;
			double hosts = shareOfHost(new Resources(cpuMillicores, mebibytes, 0));
			this.knownDemand
				.ifPresent((plan) -> taskMillis.forEach((task) -> plan.add(pool, startMillis, task, hosts)));
			chainMillis += Collections.max(taskMillis);
			work += (double) width * millis * cpuMillicores;
			steps.add(step(width, new Resources(cpuMillicores, mebibytes, 0), (int) sampleLogNormal(millis, 0.2, 3),
					(step == 0) ? List.of() : List.of(step - 1), false, OptionalInt.empty()));
		}
		double meanWork = 1.5 * 8 * this.spec.workMillis() * this.spec.task().cpuMillicores();
		double weight = Math.min(4, 0.3 + 0.7 * work / meanWork);
		this.jobs.put(id, new JobTimes(pool, workspace, work, durations,
				this.nowMillis + (long) (STRETCH * chainMillis) + TARGET_MILLIS, weight, 0));
		commitLater(
				List.of(BatchFixtures.submit(id, "work" + pool, "team" + workspace, new JobSpec(id, steps, 0, 0, 0))));
	}

	private boolean isStraggler() {
		return this.load.filter((traffic) -> this.random.nextDouble() < traffic.stragglerShare()).isPresent();
	}

	private void submitServing(int pool) {
		String id = "serve" + pool;
		commitLater(List.of(BatchFixtures.submit(id, "serve" + pool, "team0",
				new JobSpec(id, List.of(step(this.spec.servingTasks(), this.spec.servingTask(), 700, List.of(), true,
						OptionalInt.of(this.spec.servingPerHost()))), 0, 0, 0))));
	}

	private double sampleLogNormal(double mean, double sigma, double maximumFactor) {
		double sample = mean * Math.exp(sigma * this.random.nextGaussian() - sigma * sigma / 2);
		return Math.min(maximumFactor * mean, sample);
	}

	private BatchQueue queue(String name, int pool, int targetMillis) {
		return new BatchQueue(name, "host", "/" + name + "/", false, "pool" + pool, 0, 3, 3_000, targetMillis, STRETCH);
	}

	private static StepSpec step(int width, Resources resources, int estimatedMillis, List<Integer> after,
			boolean serving, OptionalInt perRunner) {
		return new StepSpec(width, resources, estimatedMillis, after, false, false, false, Optional.empty(),
				Optional.empty(), perRunner, false, serving, Optional.empty(), OptionalInt.empty(), false,
				serving ? 2 : 0);
	}

	/** Returns what the leader has reported as overdue. */
	public List<OverdueReport> overdueReports() {
		return this.overdueReports;
	}

	private void decide() {
		if (this.nowMillis < this.pausedFromMillis || this.nowMillis >= this.pausedUntilMillis) {
			this.leader.decide(this.nowMillis, this.nowMillis);
			this.overdueReports.addAll(this.leader.reportOverdueIfDue(this.nowMillis));
			this.leader.dueOrders(this.nowMillis).forEach(this::send);
			this.leader.dueHostOrders(this.nowMillis).forEach(this::execute);
			commitLater(this.leader.drainProposals());
		}
		this.hostMillis += ROUND_MILLIS
				* this.poolOfHost.values().stream().filter((pool) -> !pool.equals("spare")).count();
		this.load.ifPresent(this::addHeldHosts);
		at(ROUND_MILLIS, this::decide);
	}

	private void addHeldHosts(DemandLoad traffic) {
		long offsetMillis = this.nowMillis - START_MILLIS - this.spec.warmUpMillis();
		Map<String, Runner> runnerOfHost = new HashMap<>();
		this.runners.values().forEach((runner) -> runnerOfHost.put(runner.host, runner));
		this.poolOfHost.forEach((host, pool) -> {
			if (!pool.equals("spare")) {
				Runner runner = runnerOfHost.get(host);
				HostUse use = (runner != null) ? use(runner, host, pool, traffic, offsetMillis) : HostUse.ARRIVING;
				this.heldMillis.merge(use, (long) ROUND_MILLIS, Long::sum);
			}
		});
		this.runners.forEach((key, runner) -> {
			if (runner.running.keySet().stream().allMatch((task) -> this.jobs.containsKey(task.job()))) {
				this.reservedHostMillis += ROUND_MILLIS * shareOfHost(this.state.runs().reservedOn(key));
			}
		});
	}

	private HostUse use(Runner runner, String host, String pool, DemandLoad traffic, long offsetMillis) {
		if (runner.running.keySet().stream().anyMatch((task) -> !this.jobs.containsKey(task.job()))) {
			return HostUse.SERVING;
		}
		if (!runner.running.isEmpty()) {
			return HostUse.BUSY;
		}
		return this.state.moves().containsKey(host) ? HostUse.LEAVING
				: HostUse.ofIdle(traffic, Integer.parseInt(pool.substring("pool".length())), offsetMillis);
	}

	private void listHosts() {
		if (this.leader.startHostListIfDue(this.nowMillis)) {
			this.leader.onHostList(this.poolOfHost.entrySet()
				.stream()
				.map((entry) -> new HostEntry(entry.getKey(), entry.getValue(), true))
				.toList());
		}
		at(100, this::listHosts);
	}

	private void commitLater(List<BatchCommand> commands) {
		if (!commands.isEmpty()) {
			at(COMMIT_MILLIS, () -> commit(commands));
		}
	}

	private void commit(List<BatchCommand> commands) {
		this.state.apply(new CommandGroup(this.nowMillis, commands));
		commands.forEach((command) -> {
			if (this.leader != null) {
				this.leader.onApplied(command, this.nowMillis);
			}
			if (command instanceof BatchCommand.SetUpkeep && this.waveCompletedMillis == 0
					&& this.state.waves().get(1L).isCompleted()) {
				this.waveCompletedMillis = this.nowMillis;
			}
			if (command instanceof BatchCommand.NoteEnds committed) {
				committed.ends().forEach((end) -> recordEnd(end.task().job()));
			}
		});
	}

	private void recordEnd(String job) {
		this.state.job(job)
			.filter((known) -> known.phase() == BatchJobPhase.COMPLETED)
			.ifPresent((known) -> this.jobs.computeIfPresent(job, (id, times) -> times.endingAt(this.nowMillis)));
	}

	private void execute(HostOrder order) {
		at(this.spec.orderMillis(), () -> {
			this.runners.values().removeIf((runner) -> runner.host.equals(order.host()));
			if (order instanceof HostOrder.Move move) {
				this.moves++;
				this.poolOfHost.put(move.host(), move.pool());
			}
			this.leader.onHostReply(order, HostReply.DONE, this.nowMillis);
			if (!this.poolOfHost.get(order.host()).equals("spare")) {
				at((order instanceof HostOrder.Move) ? MOVE_MILLIS : MAINTENANCE_MILLIS,
						() -> startRunner(order.host()));
			}
		});
	}

	private void startRunner(String host) {
		RunnerKey key = new RunnerKey("runner" + this.runnerCount++, this.nowMillis);
		this.runners.put(key, new Runner(host));
		int number = Integer.parseInt(host.substring("host".length()));
		RunnerRecord record = new RunnerRecord(key, Optional.of(host), this.poolOfHost.get(host), "127.0.0.1:1", "dc1",
				Optional.of("rack" + number / HOSTS_PER_RACK), this.spec.host(), Set.of(), false);
		this.leader.onAnnouncement(record, 1, this.nowMillis).ifPresent((command) -> commitLater(List.of(command)));
	}

	private void send(RunnerDispatch dispatch) {
		RunnerKey key = dispatch.runner().key();
		RunnerOrder order = dispatch.order();
		if (isCutOff(key)) {
			at(dispatch.answerTimeoutMillis(), () -> answer(dispatch, RunnerReply.NoAnswer.UNKNOWN));
			return;
		}
		at(ROUND_TRIP_MILLIS / 2, () -> {
			Runner runner = this.runners.get(key);
			if (runner == null) {
				answer(dispatch, RunnerReply.NoAnswer.CONNECTION_REFUSED);
			}
			else if (order instanceof RunnerOrder.Heartbeat heartbeat) {
				runner.heartbeat = Optional.of(dispatch);
				runner.ends.removeIf((end) -> end.number() <= heartbeat.acknowledgedEnd());
				at(heartbeat.waitMillis(), () -> answerHeartbeat(dispatch));
				if (!runner.ends.isEmpty()) {
					answerHeartbeat(dispatch);
				}
			}
			else {
				if (order instanceof RunnerOrder.Start start) {
					start(key, runner, start);
				}
				else if (order instanceof RunnerOrder.Stop stop) {
					end(key, runner, stop.task(), RunOutcome.STOPPED);
				}
				answer(dispatch, new RunnerReply.Accepted(this.nowMillis));
			}
		});
	}

	private boolean isCutOff(RunnerKey key) {
		boolean isCut = this.nowMillis >= this.cutFromMillis && this.nowMillis < this.cutUntilMillis;
		return isCut && Optional.ofNullable(this.runners.get(key))
			.filter((runner) -> Integer.parseInt(runner.host.substring("host".length())) % DATA_CENTRES == 0)
			.isPresent();
	}

	private void start(RunnerKey key, Runner runner, RunnerOrder.Start start) {
		TaskId task = start.task();
		runner.running.put(task, start.run());
		runner.startedMillis.put(task, this.nowMillis);
		Optional<JobTimes> times = Optional.ofNullable(this.jobs.get(task.job()));
		if (times.isEmpty()) {
			runner.servingWaitMillis.add(this.nowMillis - START_MILLIS - SERVING_MILLIS);
			return;
		}
		at(times.get().durations().get(task.step()).get(task.index()), () -> end(key, runner, task, RunOutcome.DONE));
	}

	private void end(RunnerKey key, Runner runner, TaskId task, RunOutcome outcome) {
		Integer run = runner.running.remove(task);
		if (run != null) {
			runner.ends.add(new BatchCommand.End(++runner.lastEnd, task, run, outcome, ""));
			runner.heartbeat.ifPresent(this::answerHeartbeat);
		}
	}

	private int percent(Runner runner, TaskId task) {
		boolean isStarting = !this.jobs.containsKey(task.job())
				&& this.nowMillis - runner.startedMillis.get(task) < SERVING_START_MILLIS;
		return isStarting ? 0 : 100;
	}

	private void answerHeartbeat(RunnerDispatch heartbeat) {
		RunnerKey key = heartbeat.runner().key();
		Runner runner = this.runners.get(key);
		if (isCutOff(key)) {
			at(this.cutUntilMillis - this.nowMillis, () -> answer(heartbeat, RunnerReply.NoAnswer.UNKNOWN));
			runner.heartbeat = Optional.empty();
		}
		else if (runner != null && runner.heartbeat.equals(Optional.of(heartbeat))) {
			runner.heartbeat = Optional.empty();
			answer(heartbeat,
					new RunnerReply.Listing(this.nowMillis, OptionalLong.of(key.bornMillis()),
							runner.running.entrySet()
								.stream()
								.map((entry) -> new RunnerReply.RunningTask(entry.getKey(), entry.getValue(), "",
										percent(runner, entry.getKey()), OptionalInt.empty()))
								.toList(),
							runner.ends, true));
		}
	}

	private void answer(RunnerDispatch dispatch, RunnerReply reply) {
		at(ROUND_TRIP_MILLIS / 2, () -> this.leader.onReply(dispatch, reply, this.nowMillis));
	}

	private void run(long millis) {
		long untilMillis = this.nowMillis + millis;
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= untilMillis) {
			Event event = this.events.remove();
			this.nowMillis = event.atMillis();
			event.action().run();
		}
	}

	private void at(long delayMillis, Runnable action) {
		this.events.add(new Event(this.nowMillis + delayMillis, ++this.eventCount, action));
	}

	/** Runner without faults. */
	private static final class Runner {

		private final String host;

		private final Map<TaskId, Integer> running = new LinkedHashMap<>();

		private final Map<TaskId, Long> startedMillis = new HashMap<>();

		private final List<BatchCommand.End> ends = new ArrayList<>();

		private final List<Long> servingWaitMillis = new ArrayList<>();

		private Optional<RunnerDispatch> heartbeat = Optional.empty();

		private long lastEnd;

		private Runner(String host) {
			this.host = host;
		}

	}

	private record Event(long atMillis, long number, Runnable action) {

	}

	/** Step durations, objective and end time of a job. */
	private record JobTimes(int pool, int workspace, double work, List<List<Long>> durations, long objectiveMillis,
			double weight, long endMillis) {

		private JobTimes endingAt(long millis) {
			return new JobTimes(this.pool, this.workspace, this.work, this.durations, this.objectiveMillis, this.weight,
					millis);
		}

	}

	/**
	 * Size of a fleet and its load.
	 *
	 * @param pools number of pools besides the spare pool
	 * @param hosts number of hosts, including those in the spare pool
	 * @param host capacity of a host
	 * @param task mean resources of a task
	 * @param workMillis mean duration of a task
	 * @param peakPerSecond jobs per second at the maximum of a peak
	 * @param peakMillis duration of a peak
	 * @param servingTasks number of long-running tasks per pool
	 * @param servingTask resources of a long-running task
	 * @param servingPerHost maximum number of long-running tasks per host
	 * @param orderMillis delay of a host order
	 * @param warmUpMillis time before the first peak
	 */
	public record FleetSpec(int pools, int hosts, Resources host, Resources task, int workMillis, double peakPerSecond,
			int peakMillis, int servingTasks, Resources servingTask, int servingPerHost, int orderMillis,
			int warmUpMillis) {

		FleetSpec withPeaks(double perSecond, int millis) {
			return new FleetSpec(this.pools, this.hosts, this.host, this.task, this.workMillis, perSecond, millis,
					this.servingTasks, this.servingTask, this.servingPerHost, this.orderMillis, this.warmUpMillis);
		}

		FleetSpec withServingPerHost(int tasks) {
			return new FleetSpec(this.pools, this.hosts, this.host, this.task, this.workMillis, this.peakPerSecond,
					this.peakMillis, this.servingTasks, this.servingTask, tasks, this.orderMillis, this.warmUpMillis);
		}

	}

}
