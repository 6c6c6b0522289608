package io.burdockpin.core.batch.lead;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
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
 * How much room the jobs of each pool want: what runs, what waits, and what will arrive
 * while a host moves. Mutable; owned by the leader.
 */
public final class PoolDemand {

	/**
	 * Weight of the newest observation of the arrival rate; about half a second decides.
	 */
	private static final double NEWEST_SHARE = 0.3;

	private static final double MILLIS_PER_SECOND = 1_000;

	/**
	 * Long-running tasks may take only a share of a pool, so they want more than they
	 * use.
	 */
	private static final double LONG_RUNNING_FACTOR = 1.5;

	private final BatchState state;

	private final Map<String, Double> arrivingPerSecond = new HashMap<>();

	private final Set<String> knownJobs = new HashSet<>();

	private Map<String, Room> wanted = Map.of();

	private long observedMillis;

	/**
	 * Creates an observer.
	 * @param state the state
	 */
	public PoolDemand(BatchState state) {
		this.state = state;
	}

	/**
	 * Looks at the jobs.
	 * @param configuration the configuration
	 * @param nowMillis the time of the monotonic clock
	 */
	public void observe(FleetConfiguration configuration, long nowMillis) {
		Map<String, Room> sums = new HashMap<>();
		Map<String, Double> arrived = new HashMap<>();
		Set<String> present = new HashSet<>();
		for (BatchJob job : this.state.activeJobs()) {
			present.add(job.id());
			configuration.queue(job.queue()).map(BatchQueue::pool).ifPresent((pool) -> {
				sums.merge(pool, roomOf(job), Room::plus);
				if (!this.knownJobs.contains(job.id())) {
					arrived.merge(pool, firstStepMillicores(job), Double::sum);
				}
			});
		}
		this.knownJobs.clear();
		this.knownJobs.addAll(present);
		updateRates(configuration, arrived, nowMillis);
		this.wanted = sums;
	}

	/**
	 * Returns the room that a pool wants.
	 * @param pool the pool
	 * @param lookAheadMillis time for which arrivals are added
	 * @return the room, running work included
	 */
	public Room wanted(String pool, long lookAheadMillis) {
		double arriving = this.arrivingPerSecond.getOrDefault(pool, 0.0) * lookAheadMillis / MILLIS_PER_SECOND;
		return this.wanted.getOrDefault(pool, Room.NONE).plus(new Room((long) arriving, 0));
	}

	private void updateRates(FleetConfiguration configuration, Map<String, Double> arrived, long nowMillis) {
		double elapsedSeconds = Math.max(1, nowMillis - this.observedMillis) / MILLIS_PER_SECOND;
		if (this.observedMillis != 0) {
			configuration.pools().forEach((pool) -> {
				double newest = arrived.getOrDefault(pool.name(), 0.0) / elapsedSeconds;
				this.arrivingPerSecond.merge(pool.name(), newest,
						(before, now) -> before + NEWEST_SHARE * (now - before));
			});
		}
		this.observedMillis = nowMillis;
	}

	private static double firstStepMillicores(BatchJob job) {
		StepSpec first = job.spec().steps().get(0);
		return (double) first.taskCount() * first.reserved().cpuMillicores();
	}

	private static Room roomOf(BatchJob job) {
		Room room = Room.NONE;
		for (Occurrence occurrence : job.occurrences()) {
			for (int number = 0; number < occurrence.steps().size(); number++) {
				StepTasks step = occurrence.steps().get(number);
				if (!step.isDone() && occurrence.isReady(number)) {
					long open = step.tasks().stream().filter((task) -> !task.isDone() || hasRun(task)).count();
					open = step.spec().longRunning() ? Math.round(LONG_RUNNING_FACTOR * open) : open;
					room = room.plus(new Room(open * step.spec().reserved().cpuMillicores(),
							open * step.spec().reserved().memoryMebibytes()));
				}
			}
		}
		return room;
	}

	private static boolean hasRun(BatchTask task) {
		return task.run().isPresent();
	}

	/**
	 * An amount of processor and memory.
	 *
	 * @param cpuMillicores thousandths of a core
	 * @param memoryMebibytes memory in MiB
	 */
	public record Room(long cpuMillicores, long memoryMebibytes) {

		static final Room NONE = new Room(0, 0);

		Room plus(Room other) {
			return new Room(this.cpuMillicores + other.cpuMillicores, this.memoryMebibytes + other.memoryMebibytes);
		}

		boolean exceeds(Room other) {
			return this.cpuMillicores > other.cpuMillicores || this.memoryMebibytes > other.memoryMebibytes;
		}

	}

}
