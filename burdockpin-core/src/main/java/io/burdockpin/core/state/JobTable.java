package io.burdockpin.core.state;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.TeamName;

/**
 * Jobs in the order of submission, with the counts that the limits need. Mutable, owned
 * by the state machine.
 */
final class JobTable {

	private final Map<JobId, JobRecord> jobs = new LinkedHashMap<>();

	private final Map<JobId, Long> endedMillis = new LinkedHashMap<>();

	private final Map<TeamName, Integer> holdingByTeam = new HashMap<>();

	private final Map<HostName, Integer> holdingByHost = new HashMap<>();

	// life cycle

	JobTable restore(List<JobRecord> restored) {
		restored.forEach((job) -> this.jobs.put(job.id(), job));
		restored.forEach((job) -> count(job, 1));
		restored.stream()
			.filter((job) -> job.state().ended())
			.sorted((first, second) -> Long.compare(first.changedMillis(), second.changedMillis()))
			.forEach((job) -> this.endedMillis.put(job.id(), job.changedMillis()));
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

	int holdingOf(TeamName team) {
		return this.holdingByTeam.getOrDefault(team, 0);
	}

	int holdingOn(HostName host) {
		return this.holdingByHost.getOrDefault(host, 0);
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
		find(changed.id()).ifPresent((before) -> count(before, -1));
		this.jobs.put(changed.id(), changed);
		count(changed, 1);
		if (changed.state().ended()) {
			this.endedMillis.remove(changed.id());
			this.endedMillis.put(changed.id(), changed.changedMillis());
		}
	}

	void removeEndedBefore(long beforeMillis) {
		Iterator<Map.Entry<JobId, Long>> oldest = this.endedMillis.entrySet().iterator();
		while (oldest.hasNext()) {
			Map.Entry<JobId, Long> entry = oldest.next();
			if (entry.getValue() >= beforeMillis) {
				return;
			}
			this.jobs.remove(entry.getKey());
			oldest.remove();
		}
	}

	// helpers

	private void count(JobRecord job, int step) {
		if (job.state().holdsCapacity()) {
			this.holdingByTeam.merge(job.spec().team(), step, Integer::sum);
			job.worker().ifPresent((worker) -> this.holdingByHost.merge(worker, step, Integer::sum));
		}
	}

}
