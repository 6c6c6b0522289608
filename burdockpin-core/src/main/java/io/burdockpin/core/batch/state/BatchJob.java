package io.burdockpin.core.batch.state;

import java.util.Collection;
import java.util.Collections;
import java.util.Optional;
import java.util.TreeMap;

import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.JobSize;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.QueueAddress;

/** A job with its open occurrences. Mutable; owned by the {@link BatchState}. */
public final class BatchJob {

	private final String id;

	private final String queueName;

	private final String workspace;

	private final JobSpec spec;

	private final JobSize size;

	private final long acceptedMillis;

	/** Empty in a job of an earlier version until a configuration has its queue. */
	private Optional<QueueAddress> address;

	private Optional<BatchQueue> configuredQueue = Optional.empty();

	private final TreeMap<Integer, Occurrence> occurrences = new TreeMap<>();

	private BatchJobPhase phase = BatchJobPhase.QUEUED;

	private int doneOccurrences;

	BatchJob(String id, String queueName, Optional<QueueAddress> address, String workspace, JobSpec spec,
			long acceptedMillis) {
		this.id = id;
		this.queueName = queueName;
		this.address = address;
		this.workspace = workspace;
		this.spec = spec;
		this.size = spec.size();
		this.acceptedMillis = acceptedMillis;
	}

	// access

	/**
	 * Returns the identifier of the job.
	 * @return the identifier, chosen by the caller
	 */
	public String id() {
		return this.id;
	}

	/**
	 * Returns the name that the queue had when the job was submitted.
	 * @return a name that the configuration may no longer have, or has for another queue
	 */
	public String queueName() {
		return this.queueName;
	}

	/**
	 * Returns what identifies the queue of the job.
	 * @return empty if the job is of an earlier version and its queue has not been found
	 */
	public Optional<QueueAddress> address() {
		return this.address;
	}

	/**
	 * Returns the queue as it was last configured. A queue that the configuration no
	 * longer has still determines where and how often the tasks of its jobs run.
	 * @return empty if the {@link #address} is
	 */
	public Optional<BatchQueue> configuredQueue() {
		return this.configuredQueue;
	}

	/**
	 * Tells whether callers address the job at a queue.
	 * @param queue the address of the queue
	 * @return {@code true} also if the queue of the job is not known, since no other job
	 * has its identifier
	 */
	public boolean isAt(QueueAddress queue) {
		return this.address.map(queue::equals).orElse(true);
	}

	/**
	 * Returns the workspace.
	 * @return the name of the workspace; empty if the job was submitted to an open queue
	 * without a key
	 */
	public String workspace() {
		return this.workspace;
	}

	/**
	 * Returns the specification of the job.
	 * @return the specification as submitted by the caller
	 */
	public JobSpec spec() {
		return this.spec;
	}

	/**
	 * Returns what the job takes of a member.
	 * @return the size, computed once from the specification
	 */
	public JobSize size() {
		return this.size;
	}

	/**
	 * Returns when the job was accepted.
	 * @return milliseconds since 1970
	 */
	public long acceptedMillis() {
		return this.acceptedMillis;
	}

	/**
	 * Returns the phase of the job.
	 * @return the current phase
	 */
	public BatchJobPhase phase() {
		return this.phase;
	}

	/**
	 * Returns the open occurrences: those that are due and not completed.
	 * @return an unmodifiable view in the order of their numbers
	 */
	public Collection<Occurrence> occurrences() {
		return Collections.unmodifiableCollection(this.occurrences.values());
	}

	/**
	 * Finds an open occurrence.
	 * @param number the number of the occurrence
	 * @return empty if the occurrence is not due yet or already completed
	 */
	public Optional<Occurrence> occurrence(int number) {
		return Optional.ofNullable(this.occurrences.get(number));
	}

	/**
	 * Returns the number of the next occurrence to open.
	 * @return {@link JobSpec#totalOccurrences()} if all occurrences have been opened
	 */
	public int nextOccurrence() {
		return this.doneOccurrences + this.occurrences.size();
	}

	int doneOccurrences() {
		return this.doneOccurrences;
	}

	// changes

	void setQueue(BatchQueue queue) {
		this.address = Optional.of(queue.address());
		this.configuredQueue = Optional.of(queue);
	}

	void open(Occurrence occurrence) {
		this.occurrences.put(occurrence.number(), occurrence);
	}

	/** Records that a runner has started a task of the job. */
	void start() {
		if (this.phase == BatchJobPhase.QUEUED) {
			this.phase = BatchJobPhase.RUNNING;
		}
	}

	void end(BatchJobPhase newPhase) {
		this.phase = newPhase;
	}

	/**
	 * Removes the occurrences that are done. The job is completed when none is left.
	 */
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
