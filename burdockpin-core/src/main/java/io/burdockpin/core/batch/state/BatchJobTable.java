package io.burdockpin.core.batch.state;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.JobSize;

/**
 * All known jobs: the active ones, and ended ones until their retention time is over.
 * Counts what they take of a member. Mutable; owned by the {@link BatchState}.
 */
final class BatchJobTable {

	/** How long the status of an ended job can be queried after its end. */
	private static final long RETENTION_MILLIS = 180_000;

	private final Map<String, BatchJob> jobs = new LinkedHashMap<>();

	private final Map<String, BatchJob> active = new LinkedHashMap<>();

	private final Deque<EndedJob> ended = new ArrayDeque<>();

	private final Map<String, Long> unitsByWorkspace = new HashMap<>();

	private long units;

	Optional<BatchJob> find(String id) {
		return Optional.ofNullable(this.jobs.get(id));
	}

	Optional<BatchJob> findActive(String id) {
		return Optional.ofNullable(this.active.get(id));
	}

	Collection<BatchJob> all() {
		return Collections.unmodifiableCollection(this.jobs.values());
	}

	Collection<BatchJob> active() {
		return Collections.unmodifiableCollection(this.active.values());
	}

	long units() {
		return this.units;
	}

	long unitsOf(String workspace) {
		return this.unitsByWorkspace.getOrDefault(workspace, 0L);
	}

	void add(BatchJob job) {
		this.jobs.put(job.id(), job);
		this.active.put(job.id(), job);
		charge(job, activeUnits(job));
	}

	void end(BatchJob job, BatchJobPhase phase, long atMillis) {
		job.end(phase);
		this.active.remove(job.id());
		this.ended.add(new EndedJob(job.id(), atMillis));
		charge(job, job.size().endedUnits() - activeUnits(job));
	}

	void removeExpired(long atMillis) {
		while (!this.ended.isEmpty() && this.ended.peekFirst().endedMillis() + RETENTION_MILLIS < atMillis) {
			BatchJob expired = this.jobs.remove(this.ended.removeFirst().id());
			charge(expired, -expired.size().endedUnits());
		}
	}

	List<BatchSnapshot.JobImage> images(boolean withAllTasks) {
		Map<String, Long> endedMillis = new LinkedHashMap<>();
		this.ended.forEach((job) -> endedMillis.put(job.id(), job.endedMillis()));
		return this.jobs.values()
			.stream()
			.map((job) -> BatchSnapshot.JobImage.of(job, endedMillis, withAllTasks && !job.phase().isEnded()))
			.toList();
	}

	// A snapshot lists the jobs in the order of their submission.
	void restore(List<BatchSnapshot.JobImage> images) {
		List<EndedJob> restored = new ArrayList<>();
		for (BatchSnapshot.JobImage image : images) {
			BatchJob job = image.toJob();
			this.jobs.put(job.id(), job);
			if (job.phase().isEnded()) {
				restored.add(new EndedJob(job.id(), image.endedMillis()));
				charge(job, job.size().endedUnits());
			}
			else {
				this.active.put(job.id(), job);
				charge(job, activeUnits(job));
			}
		}
		restored.sort(Comparator.comparingLong(EndedJob::endedMillis));
		this.ended.addAll(restored);
	}

	// Earlier versions accepted larger jobs, of which only the started tasks take memory.
	private static long activeUnits(BatchJob job) {
		return Math.min(JobSize.MAXIMUM_UNITS, job.size().units());
	}

	private void charge(BatchJob job, long difference) {
		this.units += difference;
		this.unitsByWorkspace.merge(job.workspace(), difference,
				(before, change) -> (before + change != 0) ? before + change : null);
	}

	private record EndedJob(String id, long endedMillis) {

	}

}
