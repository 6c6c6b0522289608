package io.burdockpin.core.batch.lead;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.BatchTask;
import io.burdockpin.core.batch.state.Occurrence;
import io.burdockpin.core.batch.state.StepTasks;

/**
 * How many hosts the jobs of each pool want at the time at which a host that is ordered
 * now arrives: what waits, what will still run, and what arrives meanwhile. Long-running
 * tasks that run are left out; they take room from their hosts. Mutable; owned by the
 * leader.
 */
public final class PoolDemand {

	private static final double MILLIS_PER_SECOND = 1_000;

	private final BatchState state;

	private final DurationEstimator durations;

	private final JobObjectives objectives;

	private final Map<String, ArrivalRate> arrivals = new HashMap<>();

	private final Set<String> knownJobs = new HashSet<>();

	private Map<String, Work> work = Map.of();

	private long observedMillis;

	/**
	 * Creates an observer.
	 * @param state the state
	 * @param durations estimates how long tasks take
	 */
	public PoolDemand(BatchState state, DurationEstimator durations) {
		this.state = state;
		this.durations = durations;
		this.objectives = new JobObjectives(durations);
	}

	/**
	 * Looks at the jobs.
	 * @param configuration the configuration
	 * @param lookAheadMillis how long a host takes to arrive
	 * @param nowMillis the time of the monotonic clock
	 * @param wallMillis the time of day in milliseconds since 1970
	 */
	public void observe(FleetConfiguration configuration, long lookAheadMillis, long nowMillis, long wallMillis) {
		Map<String, Work> newWork = new HashMap<>();
		Map<String, Room> arrivedFirst = new HashMap<>();
		Map<String, Room> arrivedWork = new HashMap<>();
		Set<String> present = new HashSet<>();
		Map<String, BatchQueue> queues = configuration.queuesByName();
		for (BatchJob job : this.state.activeJobs()) {
			present.add(job.id());
			Optional.ofNullable(queues.get(job.queue())).ifPresent((queue) -> {
				String pool = queue.pool();
				addWork(newWork.computeIfAbsent(pool, (name) -> new Work()), job, queue, lookAheadMillis, wallMillis);
				if (!this.knownJobs.contains(job.id()) && !job.spec().isLongRunning()) {
					arrivedFirst.merge(pool, Room.of(job.spec().steps().get(0)), Room::plus);
					arrivedWork.merge(pool, workOf(job), Room::plus);
				}
			});
		}
		this.knownJobs.clear();
		this.knownJobs.addAll(present);
		if (this.observedMillis != 0) {
			double elapsedSeconds = Math.max(1, nowMillis - this.observedMillis) / MILLIS_PER_SECOND;
			configuration.pools()
				.forEach((pool) -> this.arrivals.computeIfAbsent(pool.name(), (name) -> new ArrivalRate())
					.observe(arrivedFirst.getOrDefault(pool.name(), Room.NONE).times(1 / elapsedSeconds),
							arrivedWork.getOrDefault(pool.name(), Room.NONE).times(1 / elapsedSeconds)));
		}
		this.observedMillis = nowMillis;
		this.work = newWork;
	}

	/**
	 * Returns how many hosts the tasks of a pool fill that end by themselves and belong
	 * to jobs that can still meet their objective.
	 * @param pool the pool
	 * @param host what a host of the pool holds
	 * @param lookAheadMillis how long a host takes to arrive
	 * @return the number of hosts
	 */
	public double wantedHosts(String pool, Room host, long lookAheadMillis) {
		Work present = this.work.getOrDefault(pool, Work.NONE);
		ArrivalRate rate = this.arrivals.getOrDefault(pool, ArrivalRate.NONE);
		Room expected = present.lasting.plus(rate.firstSteps().times(lookAheadMillis / MILLIS_PER_SECOND));
		// What arrives steadily takes its rate times its duration, even while nothing
		// waits.
		return Math.max(expected.hosts(host), rate.wholeJobs().hosts(host));
	}

	/**
	 * Returns how many hosts the tasks of a pool fill that belong to late jobs.
	 * @param pool the pool
	 * @param host what a host of the pool holds
	 * @return the number of hosts
	 */
	public double lateHosts(String pool, Room host) {
		return this.work.getOrDefault(pool, Work.NONE).late.hosts(host);
	}

	/**
	 * Returns how many empty hosts the long-running tasks of a pool need that wait.
	 * @param pool the pool
	 * @param host what a host of the pool holds
	 * @return the number of hosts
	 */
	public int servingHosts(String pool, Room host) {
		return this.work.getOrDefault(pool, Work.NONE).waitingServing.entrySet()
			.stream()
			.mapToInt((entry) -> hostsFor(entry.getKey(), entry.getValue(), host))
			.sum();
	}

	private void addWork(Work sums, BatchJob job, BatchQueue queue, long lookAheadMillis, long wallMillis) {
		for (Occurrence occurrence : job.occurrences()) {
			for (int number = 0; number < occurrence.steps().size(); number++) {
				StepTasks step = occurrence.steps().get(number);
				if (!step.isDone() && occurrence.isReady(number)) {
					boolean isLate = this.objectives.slackMillis(job, queue, occurrence, number, wallMillis) < 0;
					addStep(sums, job, step, isLate, lookAheadMillis);
				}
			}
		}
	}

	private void addStep(Work sums, BatchJob job, StepTasks step, boolean isLate, long lookAheadMillis) {
		int waiting = 0;
		int running = 0;
		for (BatchTask task : step.tasks()) {
			waiting += task.isWaiting() ? 1 : 0;
			running += task.run().isPresent() ? 1 : 0;
		}
		if (step.spec().longRunning()) {
			if (waiting > 0) {
				sums.waitingServing.merge(step.spec(), waiting, Integer::sum);
			}
			return;
		}
		double endingShare = Math.min(1, lookAheadMillis / Math.max(1.0, durationMillis(job, step.spec())));
		Room lasting = Room.of(step.spec(), waiting + running * (1 - endingShare));
		if (isLate) {
			sums.late = sums.late.plus(lasting);
		}
		else {
			sums.lasting = sums.lasting.plus(lasting);
		}
	}

	private Room workOf(BatchJob job) {
		Room sum = Room.NONE;
		for (StepSpec step : job.spec().steps()) {
			sum = sum.plus(Room.of(step).times(durationMillis(job, step) / MILLIS_PER_SECOND));
		}
		return sum;
	}

	private double durationMillis(BatchJob job, StepSpec step) {
		return this.durations.estimateMillis(job.queue(), step.estimatedMillis());
	}

	private static int hostsFor(StepSpec step, int tasks, Room host) {
		Room task = Room.of(step, 1);
		int perHost = (int) Math.max(1,
				Math.min(step.maximumPerRunner().orElse(Integer.MAX_VALUE), 1 / Math.max(1e-9, task.hosts(host))));
		int packedHosts = (tasks + perHost - 1) / perHost;
		double shareHosts = tasks * task.hosts(host) / TaskPlanner.LONG_RUNNING_SHARE;
		return Math.max(packedHosts, (int) Math.ceil(shareHosts));
	}

	/** What the jobs of a pool ask for. Mutable until the observation ends. */
	private static final class Work {

		private static final Work NONE = new Work();

		/** Room of the tasks that will not have ended when a new host arrives. */
		private Room lasting = Room.NONE;

		/** The same of jobs that will miss their objective. */
		private Room late = Room.NONE;

		private final Map<StepSpec, Integer> waitingServing = new HashMap<>();

	}

	/** Moving averages of what arrives in a second. Mutable. */
	private static final class ArrivalRate {

		private static final ArrivalRate NONE = new ArrivalRate();

		/** Weight of the newest observation; about half a second decides. */
		private static final double FAST_SHARE = 0.3;

		/** About two seconds decide. */
		private static final double SLOW_SHARE = 0.08;

		private Room fastFirst = Room.NONE;

		private Room slowFirst = Room.NONE;

		private Room fastWork = Room.NONE;

		private Room slowWork = Room.NONE;

		private void observe(Room first, Room work) {
			this.fastFirst = this.fastFirst.towards(first, FAST_SHARE);
			this.slowFirst = this.slowFirst.towards(first, SLOW_SHARE);
			this.fastWork = this.fastWork.towards(work, FAST_SHARE);
			this.slowWork = this.slowWork.towards(work, SLOW_SHARE);
		}

		private Room firstSteps() {
			return this.fastFirst.extrapolatedFrom(this.slowFirst);
		}

		private Room wholeJobs() {
			return this.fastWork.extrapolatedFrom(this.slowWork);
		}

	}

	/**
	 * An amount of processor and memory.
	 *
	 * @param cpuMillicores thousandths of a core
	 * @param memoryMebibytes memory in MiB
	 */
	public record Room(double cpuMillicores, double memoryMebibytes) {

		static final Room NONE = new Room(0, 0);

		static Room of(StepSpec step) {
			return of(step, step.taskCount());
		}

		static Room of(StepSpec step, double tasks) {
			return new Room(tasks * step.reserved().cpuMillicores(), tasks * step.reserved().memoryMebibytes());
		}

		Room plus(Room other) {
			return new Room(this.cpuMillicores + other.cpuMillicores, this.memoryMebibytes + other.memoryMebibytes);
		}

		Room times(double factor) {
			return new Room(factor * this.cpuMillicores, factor * this.memoryMebibytes);
		}

		Room towards(Room newest, double share) {
			return times(1 - share).plus(newest.times(share));
		}

		// A rate that rises goes on rising while a turn begins.
		Room extrapolatedFrom(Room slower) {
			return new Room(this.cpuMillicores + Math.max(0, this.cpuMillicores - slower.cpuMillicores),
					this.memoryMebibytes + Math.max(0, this.memoryMebibytes - slower.memoryMebibytes));
		}

		/**
		 * Returns how many hosts this fills in its scarcer dimension.
		 * @param host what a host holds
		 * @return the number of hosts
		 */
		double hosts(Room host) {
			return Math.max(this.cpuMillicores / Math.max(1, host.cpuMillicores),
					this.memoryMebibytes / Math.max(1, host.memoryMebibytes));
		}

	}

}
