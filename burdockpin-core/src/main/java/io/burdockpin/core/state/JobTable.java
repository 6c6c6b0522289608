package io.burdockpin.core.state;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Stream;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.TeamName;

/**
 * Jobs in the order of submission, with the numbers of active jobs by team and host.
 * Mutable and owned by the state machine.
 */
final class JobTable {

	private final Map<JobId, JobRecord> jobs = new LinkedHashMap<>();

	private final NavigableSet<EndedJob> ended = new TreeSet<>(EndedJob.ORDER);

	private final Map<TeamName, Integer> activeCountByTeam = new HashMap<>();

	private final Map<HostName, Integer> activeCountByHost = new HashMap<>();

	// life cycle

	JobTable restore(List<JobRecord> restored) {
		restored.forEach(this::put);
		return this;
	}

	// access

	Optional<JobRecord> find(JobId job) {
		return Optional.ofNullable(this.jobs.get(job));
	}

	JobRecord require(JobId job) {
		return find(job).orElseThrow(
				() -> new CommandRejectedException(ErrorCode.UNKNOWN_JOB, "job %s does not exist".formatted(job)));
	}

	int activeCountOf(TeamName team) {
		return this.activeCountByTeam.getOrDefault(team, 0);
	}

	int activeCountOn(HostName host) {
		return this.activeCountByHost.getOrDefault(host, 0);
	}

	boolean anyMatch(Predicate<JobRecord> condition) {
		return this.jobs.values().stream().anyMatch(condition);
	}

	Stream<JobRecord> notEnded() {
		return this.jobs.values().stream().filter((job) -> !job.state().ended());
	}

	List<JobRecord> list() {
		return List.copyOf(this.jobs.values());
	}

	// changes

	void put(JobRecord changed) {
		find(changed.id()).ifPresent(this::removeFromIndexes);
		this.jobs.put(changed.id(), changed);
		adjustCounts(changed, 1);
		if (changed.state().ended()) {
			this.ended.add(EndedJob.of(changed));
		}
	}

	void removeEndedBefore(long beforeMillis) {
		while (!this.ended.isEmpty() && this.ended.first().endedMillis() < beforeMillis) {
			this.jobs.remove(this.ended.pollFirst().job());
		}
	}

	// helpers

	private void removeFromIndexes(JobRecord before) {
		adjustCounts(before, -1);
		this.ended.remove(EndedJob.of(before));
	}

	private void adjustCounts(JobRecord job, int step) {
		if (job.state().holdsCapacity()) {
			this.activeCountByTeam.merge(job.spec().team(), step, Integer::sum);
			job.worker().ifPresent((worker) -> this.activeCountByHost.merge(worker, step, Integer::sum));
		}
	}

	/** An ended job, ordered by the time of its end so that the oldest expire first. */
	private record EndedJob(long endedMillis, JobId job) {

		private static final Comparator<EndedJob> ORDER = Comparator.comparingLong(EndedJob::endedMillis)
			.thenComparing(EndedJob::job);

		private static EndedJob of(JobRecord record) {
			return new EndedJob(record.changedMillis(), record.id());
		}

	}

}
