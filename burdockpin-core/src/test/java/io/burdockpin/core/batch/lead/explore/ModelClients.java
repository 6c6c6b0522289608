package io.burdockpin.core.batch.lead.explore;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.CommandResult;

/** Callers and operators, who repeat a call until it is acknowledged. */
final class ModelClients {

	private static final int RETRY_MILLIS = 700;

	private final VirtualTime time;

	private final ModelScheduler scheduler;

	private final Map<String, Submission> submissions = new LinkedHashMap<>();

	private final Set<String> acceptedJobs = new LinkedHashSet<>();

	private final Map<String, Long> cancelledMillis = new LinkedHashMap<>();

	ModelClients(VirtualTime time, ModelScheduler scheduler) {
		this.time = time;
		this.scheduler = scheduler;
	}

	void submit(String job, BatchQueue queue, JobSpec spec) {
		this.submissions.put(job, new Submission(queue, spec));
		call(new BatchCommand.SubmitJob(job, queue.name(), FleetModel.WORKSPACE, spec, Optional.of(queue.address())),
				() -> this.acceptedJobs.add(job));
	}

	/** Cancels a job, unless its submission is not acknowledged yet. */
	void cancel(String job) {
		if (this.acceptedJobs.contains(job)) {
			call(new BatchCommand.CancelJob(job), () -> this.cancelledMillis.putIfAbsent(job, this.time.nowMillis()));
		}
	}

	void call(BatchCommand command, Runnable onAcknowledged) {
		call(command, onAcknowledged, new HashSet<>());
	}

	Optional<Submission> submission(String job) {
		return Optional.ofNullable(this.submissions.get(job));
	}

	Set<String> jobs() {
		return this.submissions.keySet();
	}

	/** Returns when the cancellation of a job was acknowledged. */
	Optional<Long> cancelledMillis(String job) {
		return Optional.ofNullable(this.cancelledMillis.get(job));
	}

	private void call(BatchCommand command, Runnable onAcknowledged, Set<BatchCommand> acknowledged) {
		this.scheduler.call(command, (result) -> {
			// A submission is refused while its queue is removed.
			if (result != CommandResult.REFUSED && acknowledged.add(command)) {
				onAcknowledged.run();
			}
		});
		this.time.after(RETRY_MILLIS, () -> {
			if (acknowledged.isEmpty()) {
				call(command, onAcknowledged, acknowledged);
			}
		});
	}

	/** A job as it was submitted. */
	record Submission(BatchQueue queue, JobSpec spec) {

	}

}
