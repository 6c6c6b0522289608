package io.burdockpin.core.batch.state;

import java.util.Collection;
import java.util.Collections;
import java.util.Optional;
import java.util.TreeMap;

import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.JobSpec;

/** A job. Mutable; belongs to the state machine. */
public final class BatchJob {

	private final String id;

	private final String queue;

	private final String workspace;

	private final JobSpec spec;

	private final long acceptedMillis;

	private final TreeMap<Integer, Occurrence> occurrences = new TreeMap<>();

	private BatchJobPhase phase = BatchJobPhase.QUEUED;

	private int doneOccurrences;

	BatchJob(String id, String queue, String workspace, JobSpec spec, long acceptedMillis) {
		this.id = id;
		this.queue = queue;
		this.workspace = workspace;
		this.spec = spec;
		this.acceptedMillis = acceptedMillis;
	}

	// access

	/**
	 * Returns the identifier that the caller chose.
	 * @return the identifier
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Returns the queue.
	 * @return the name of the queue
	 */
	public String queue() {
		return this.queue;
	}

	/**
	 * Returns the workspace.
	 * @return its name, empty if the job came through an open queue without a key
	 */
	public String workspace() {
		return this.workspace;
	}

	/**
	 * Returns what the caller asked for.
	 * @return the specification
	 */
	public JobSpec spec() {
		return this.spec;
	}

	/**
	 * Returns when the job was accepted.
	 * @return milliseconds since 1970
	 */
	public long acceptedMillis() {
		return this.acceptedMillis;
	}

	/**
	 * Returns where the job stands.
	 * @return the phase
	 */
	public BatchJobPhase phase() {
		return this.phase;
	}

	/**
	 * Returns the occurrences that are open.
	 * @return the occurrences that are due and not done
	 */
	public Collection<Occurrence> occurrences() {
		return Collections.unmodifiableCollection(this.occurrences.values());
	}

	/**
	 * Finds an open occurrence.
	 * @param number its number
	 * @return the occurrence
	 */
	public Optional<Occurrence> occurrence(int number) {
		return Optional.ofNullable(this.occurrences.get(number));
	}

	/**
	 * Returns the number of the next occurrence to open.
	 * @return the number, equal to the number of occurrences if all were opened
	 */
	public int nextOccurrence() {
		return this.doneOccurrences + this.occurrences.size();
	}

	int doneOccurrences() {
		return this.doneOccurrences;
	}

	// changes

	void open(Occurrence occurrence) {
		this.occurrences.put(occurrence.number(), occurrence);
	}

	void start() {
		if (this.phase == BatchJobPhase.QUEUED) {
			this.phase = BatchJobPhase.RUNNING;
		}
	}

	void end(BatchJobPhase newPhase) {
		this.phase = newPhase;
	}

	/** Drops occurrences that are done; the job is completed with the last one. */
	void removeCompletedOccurrences() {
		int before = this.occurrences.size();
		this.occurrences.values().removeIf(Occurrence::isDone);
		this.doneOccurrences += before - this.occurrences.size();
		if (this.doneOccurrences == this.spec.totalOccurrences() && !this.phase.isEnded()) {
			this.phase = BatchJobPhase.COMPLETED;
		}
	}

	void restore(BatchJobPhase restoredPhase, int restoredDoneOccurrences) {
		this.phase = restoredPhase;
		this.doneOccurrences = restoredDoneOccurrences;
	}

}
