package io.burdockpin.benchmark.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;

/**
 * Jobs of one team for one pool. Mutable, used by one thread. In its turn the queue asks
 * for five times its mean, in between for a twentieth. All sizes come from a seed, so
 * that every policy sees the same jobs.
 */
final class QueueDemand {

	/** Five queues that take turns ask for their mean on average. */
	private static final int TURNS = 5;

	private static final double IN_TURN = 5;

	private static final double OUT_OF_TURN = 0.05;

	private static final double SHORTEST_RUN_MILLIS = 5_000;

	private static final double LONGEST_RUN_MILLIS = 120_000;

	private static final double SMALLEST_CPU_PART = 0.03;

	private static final double LARGEST_CPU_PART = 0.25;

	private static final double URGENT_PART = 0.02;

	private static final double REPEATABLE_PART = 0.8;

	private static final double IMPOSSIBLE_PART = 0.005;

	private final TeamName team;

	private final PoolName pool;

	private final int number;

	private final Resources hostCapacity;

	private final double meanJobsPerMillis;

	private final double declaredFactor;

	private final RandomGenerator random;

	private double due;

	private int jobCount;

	QueueDemand(TeamName team, PoolName pool, int number, Resources hostCapacity, double meanMillicores,
			RandomGenerator random) {
		this.team = team;
		this.pool = pool;
		this.number = number;
		this.hostCapacity = hostCapacity;
		this.random = random;
		this.meanJobsPerMillis = meanMillicores / meanWorkOfJob(hostCapacity);
		// A team's habit of declaring: from a third to four times what its jobs use.
		this.declaredFactor = Math.exp(between(Math.log(1 / 3.0), Math.log(4)));
	}

	/**
	 * Returns the jobs that arrive in a step.
	 * @param fromMillis start of the step
	 * @param toMillis end of the step
	 * @param turnMillis how long one turn lasts
	 * @return the jobs
	 */
	List<JobTruth> arrivals(long fromMillis, long toMillis, long turnMillis) {
		boolean inTurn = (fromMillis / turnMillis) % TURNS == this.number % TURNS;
		this.due += (toMillis - fromMillis) * this.meanJobsPerMillis * (inTurn ? IN_TURN : OUT_OF_TURN);
		List<JobTruth> jobs = new ArrayList<>();
		while (this.due >= 1) {
			this.due--;
			jobs.add(nextJob());
		}
		return jobs;
	}

	// helpers

	private JobTruth nextJob() {
		this.jobCount++;
		JobId job = new JobId("j-%d-%d".formatted(this.number, this.jobCount));
		double cpuPart = logUniform(SMALLEST_CPU_PART, LARGEST_CPU_PART);
		double memoryPart = cpuPart * between(0.4, 1.1);
		long runMillis = Math.round(logUniform(SHORTEST_RUN_MILLIS, LONGEST_RUN_MILLIS));
		Resources usage = part(cpuPart, memoryPart);
		boolean impossible = this.random.nextDouble() < IMPOSSIBLE_PART;
		double sizeFactor = this.declaredFactor * between(0.8, 1.25);
		Resources declared = impossible ? part(3, 3)
				: part(Math.min(0.9, cpuPart * sizeFactor), Math.min(0.9, memoryPart * sizeFactor));
		long declaredMillis = Math.max(1, Math.round(runMillis * this.declaredFactor * between(0.5, 2)));
		boolean urgent = this.random.nextDouble() < URGENT_PART;
		boolean repeatable = this.random.nextDouble() < REPEATABLE_PART;
		JobSpec spec = new JobSpec(this.team, this.pool, declared, declaredMillis, urgent && !impossible, repeatable,
				Payload.EMPTY);
		return new JobTruth(job, spec, usage, runMillis);
	}

	private Resources part(double cpuPart, double memoryPart) {
		return new Resources((int) Math.max(1, this.hostCapacity.cpuMillicores() * cpuPart),
				(int) Math.max(1, this.hostCapacity.memoryMebibytes() * memoryPart), 0);
	}

	private double logUniform(double low, double high) {
		return Math.exp(between(Math.log(low), Math.log(high)));
	}

	private double between(double low, double high) {
		return low + this.random.nextDouble() * (high - low);
	}

	private static double meanWorkOfJob(Resources hostCapacity) {
		return hostCapacity.cpuMillicores() * meanLogUniform(SMALLEST_CPU_PART, LARGEST_CPU_PART)
				* meanLogUniform(SHORTEST_RUN_MILLIS, LONGEST_RUN_MILLIS);
	}

	private static double meanLogUniform(double low, double high) {
		return (high - low) / Math.log(high / low);
	}

}
