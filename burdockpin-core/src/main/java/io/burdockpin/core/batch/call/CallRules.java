package io.burdockpin.core.batch.call;

import java.util.Optional;

import io.burdockpin.core.batch.lead.place.PlacementExplainer;
import io.burdockpin.core.batch.lead.place.PlacementExplanation;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.Workspace;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandResult;
import io.burdockpin.core.exc.InvalidValueException;

/** Decides how the leader handles calls, based on the replicated state. Stateless. */
public final class CallRules {

	/** Retry delay for calls that arrive before the first configuration. */
	private static final int CONFIGURATION_RETRY_MILLIS = 1_000;

	/** A retry is of no use, since tasks are named after the identifier of their job. */
	private static final FleetReply IDENTIFIER_IN_USE = new FleetReply.Refused(FleetReply.Reason.INVALID,
			Optional.empty());

	/** A caller whose job was cancelled has no such job any more. */
	private static final FleetReply GONE = new FleetReply.Refused(FleetReply.Reason.NO_SUCH_JOB, Optional.empty());

	/**
	 * Decides about a call to a job or a queue.
	 * @param call the call with the address and key of the caller
	 * @param state the replicated state
	 * @param admission decides about jobs that are not known yet
	 * @return a refusal, an answer from the state, or a command to commit
	 */
	public CallDecision decide(FleetCall.CallerCall call, BatchState state, JobAdmission admission) {
		if (state.configuration().isEmpty()) {
			return new CallDecision.Answer(new FleetReply.Refused(FleetReply.Reason.NO_CONFIGURATION,
					Optional.of(CONFIGURATION_RETRY_MILLIS)));
		}
		FleetConfiguration configuration = state.configuration().get();
		Optional<BatchQueue> queue = configuration.queueAt(call.host(), call.path());
		Optional<Workspace> workspace = call.key().flatMap(configuration::workspaceOf);
		String owner = workspace.map(Workspace::name).orElse("");
		if (queue.isEmpty() || (workspace.isEmpty() && !queue.get().open())) {
			return decideWithoutQueue(call, queue, workspace, state);
		}
		String job = call.path().substring(queue.get().pathPrefix().length());
		if (call instanceof FleetCall.Submit submit) {
			return submit(submit, queue.get(), owner, job, state, admission);
		}
		if (call instanceof FleetCall.Look && job.isEmpty()) {
			return new CallDecision.Answer(new FleetReply.QueueStatus(state.queuedJobCount(queue.get().address())));
		}
		Optional<BatchJob> known = state.jobAt(call.host(), call.path())
			.filter((found) -> mayAccess(found, queue.get(), owner));
		if (known.isEmpty()) {
			return refuse(FleetReply.Reason.NO_SUCH_JOB);
		}
		if (call instanceof FleetCall.Look) {
			return new CallDecision.Answer(new FleetReply.JobStatus(known.get().phase()));
		}
		return known.get().phase().isEnded() ? new CallDecision.Answer(new FleetReply.Accepted())
				: new CallDecision.Commit(new BatchCommand.CancelJob(known.get().id()));
	}

	/**
	 * Decides about a new configuration. One whose version is not higher than the current
	 * one is accepted without effect.
	 * @param call the call with the new configuration
	 * @param state the replicated state
	 * @return a refusal, an acceptance, or a command to commit
	 */
	public CallDecision decide(FleetCall.PutConfiguration call, BatchState state) {
		try {
			call.configuration().requireConsistent();
		}
		catch (InvalidValueException ex) {
			return refuse(FleetReply.Reason.INVALID);
		}
		boolean isOutdated = state.configuration()
			.filter((current) -> current.version() >= call.configuration().version())
			.isPresent();
		return isOutdated ? new CallDecision.Answer(new FleetReply.Accepted())
				: new CallDecision.Commit(new BatchCommand.SetConfiguration(call.configuration()));
	}

	/**
	 * Reads the configuration.
	 * @param state the replicated state
	 * @return the document, or a refusal before the first configuration
	 */
	public FleetReply configuration(BatchState state) {
		return state.configuration()
			.<FleetReply>map((current) -> new FleetReply.Configuration(current.document()))
			.orElseGet(() -> new FleetReply.Refused(FleetReply.Reason.NO_CONFIGURATION,
					Optional.of(CONFIGURATION_RETRY_MILLIS)));
	}

	/**
	 * Reads the status of a maintenance wave.
	 * @param number the number of the wave
	 * @param state the replicated state
	 * @return the status, or a refusal if no such wave is known
	 */
	public FleetReply wave(long number, BatchState state) {
		return Optional.ofNullable(state.waves().get(number))
			.<FleetReply>map((wave) -> new FleetReply.WaveStatus(wave.isCompleted()))
			.orElseGet(() -> new FleetReply.Refused(FleetReply.Reason.NO_SUCH_WAVE, Optional.empty()));
	}

	/**
	 * Explains where a job would be placed now.
	 * @param call the call with a job or a submission
	 * @param explainer explains with the decisions of the leader
	 * @param admission decides whether a new job can be accepted
	 * @param state the replicated state, which is not changed
	 * @return the explanation, or a refusal if the job is not known
	 */
	public FleetReply explain(FleetCall.ExplainPlacement call, PlacementExplainer explainer, JobAdmission admission,
			BatchState state) {
		if (call.submission().isEmpty()) {
			return call.job()
				.flatMap(state::job)
				.<FleetReply>map((job) -> new FleetReply.Placement(explainer.explain(state, job)))
				.orElseGet(() -> new FleetReply.Refused(FleetReply.Reason.NO_SUCH_JOB, Optional.empty()));
		}
		FleetCall.Submit submission = call.submission().get();
		CallDecision decision = decide(submission, state, admission);
		if (decision instanceof CallDecision.Commit commit
				&& commit.command() instanceof BatchCommand.SubmitJob submitted) {
			return new FleetReply.Placement(explainer.explain(state, submitted));
		}
		if (decision instanceof CallDecision.Answer answer && answer.reply() instanceof FleetReply.Refused refused) {
			return new FleetReply.Placement(PlacementExplanation.refused(submission.path(), refused.reason().name(),
					refused.retryAfterMillis()));
		}
		// The submission would be acknowledged, since the job is known.
		return state.jobAt(submission.host(), submission.path())
			.<FleetReply>map((job) -> new FleetReply.Placement(explainer.explain(state, job)))
			.orElseGet(() -> new FleetReply.Refused(FleetReply.Reason.NO_SUCH_JOB, Optional.empty()));
	}

	/**
	 * Returns the reply to a call whose command was committed.
	 * @param command the command as committed
	 * @param result its result in the replicated state
	 * @return an acceptance, or a refusal if a command before it made it invalid
	 */
	public FleetReply reply(BatchCommand command, CommandResult result) {
		if (command instanceof BatchCommand.SubmitJob && result == CommandResult.REFUSED) {
			return new FleetReply.Refused(FleetReply.Reason.NO_SUCH_QUEUE, Optional.empty());
		}
		return (result == CommandResult.CONFLICT) ? IDENTIFIER_IN_USE : new FleetReply.Accepted();
	}

	private static CallDecision submit(FleetCall.Submit call, BatchQueue queue, String owner, String job,
			BatchState state, JobAdmission admission) {
		if (job.isEmpty()) {
			return refuse(FleetReply.Reason.INVALID);
		}
		Optional<BatchJob> known = state.job(job);
		if (known.isPresent()) {
			boolean isSame = known.get().isAt(queue.address()) && mayAccess(known.get(), queue, owner);
			return new CallDecision.Answer(isSame ? new FleetReply.Accepted() : IDENTIFIER_IN_USE);
		}
		if (!JobIntake.isStorable(call.spec())) {
			return refuse(FleetReply.Reason.OVERLOADED);
		}
		Optional<Integer> retryAfterMillis = admission.retryAfterMillis(job, queue, owner, call.spec());
		if (retryAfterMillis.isPresent()) {
			return new CallDecision.Answer(new FleetReply.Refused(FleetReply.Reason.OVERLOADED, retryAfterMillis));
		}
		return new CallDecision.Commit(
				new BatchCommand.SubmitJob(job, queue.name(), owner, call.spec(), Optional.of(queue.address())));
	}

	// The queue of an accepted job may have been removed or closed since. Its caller can
	// still end it, but gets no success where the configuration permits none.
	private static CallDecision decideWithoutQueue(FleetCall.CallerCall call, Optional<BatchQueue> queue,
			Optional<Workspace> workspace, BatchState state) {
		Optional<BatchJob> cancelled = (call instanceof FleetCall.Cancel) ? state.jobAt(call.host(), call.path())
			.filter((job) -> workspace.isPresent() ? mayCancelWithKey(job, workspace.get())
					: call.key().isEmpty() && mayCancelWithoutKey(job, queue))
				: Optional.empty();
		if (cancelled.isEmpty()) {
			return refuse(queue.isEmpty() ? FleetReply.Reason.NO_SUCH_QUEUE : FleetReply.Reason.KEY_REFUSED);
		}
		return cancelled.get().phase().isEnded() ? new CallDecision.Answer(GONE)
				: new CallDecision.Commit(new BatchCommand.CancelJob(cancelled.get().id()), GONE);
	}

	private static boolean mayCancelWithKey(BatchJob job, Workspace workspace) {
		return job.workspace().isEmpty() || job.workspace().equals(workspace.name()) || wasOpen(job);
	}

	private static boolean mayCancelWithoutKey(BatchJob job, Optional<BatchQueue> queue) {
		return job.workspace().isEmpty() || (queue.isEmpty() && wasOpen(job));
	}

	// A queue that was removed is kept as it was configured last.
	private static boolean wasOpen(BatchJob job) {
		return job.configuredQueue().filter(BatchQueue::open).isPresent();
	}

	// A configuration may open a queue or close it. Callers of an open queue need no key,
	// and a job that was submitted without one has no owner.
	private static boolean mayAccess(BatchJob job, BatchQueue queue, String owner) {
		boolean isOpen = queue.open() && job.isAt(queue.address());
		return isOpen || job.workspace().isEmpty() || job.workspace().equals(owner);
	}

	private static CallDecision refuse(FleetReply.Reason reason) {
		return new CallDecision.Answer(new FleetReply.Refused(reason, Optional.empty()));
	}

}
