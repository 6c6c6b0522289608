package io.burdockpin.core.state;

import java.util.Optional;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.TeamName;

/**
 * Applies the commands for jobs. A job that is not repeatable returns to the waiting jobs
 * only if it certainly never started, so it runs at most once. The record of an ended job
 * is kept until it expires, so that a resent submission does not start the job again.
 * Shares the tables with the other rules of the state machine.
 */
final class JobRules {

	/** How long ended jobs and their results are kept. */
	static final long RETENTION_MILLIS = 24L * 3600 * 1000;

	private final FleetTables tables;

	private final LimitCheck limitCheck;

	JobRules(FleetTables tables, LimitCheck limitCheck) {
		this.tables = tables;
		this.limitCheck = limitCheck;
	}

	void register(CommandHandlers handlers) {
		handlers.register(JobCommand.SubmitJob.class, this::submit);
		handlers.register(JobCommand.PlaceJob.class, this::place);
		handlers.register(JobCommand.ConfirmStart.class, this::confirmStart);
		handlers.register(JobCommand.FinishJob.class, this::finish);
		handlers.register(JobCommand.InterruptJob.class, this::interrupt);
		handlers.register(JobCommand.CancelJob.class, this::cancel);
		handlers.register(JobCommand.ParkJob.class, this::park);
		handlers.register(JobCommand.UnparkJob.class, this::unpark);
		handlers.register(JobCommand.AcknowledgeResult.class, this::acknowledge);
	}

	private CommandResult submit(JobCommand.SubmitJob command, CommandContext context) {
		if (this.tables.jobs.find(command.job()).isPresent()) {
			return context.unchanged(0);
		}
		this.tables.teams.require(command.spec().team());
		this.tables.pools.require(command.spec().pool());
		this.tables.jobs.put(new JobRecord(command.job(), command.spec(), JobState.WAITING, Optional.empty(), 0, false,
				context.nowMillis(), context.nowMillis(), 0, "", Payload.EMPTY, Payload.EMPTY));
		return context.accepted();
	}

	private CommandResult place(JobCommand.PlaceJob command, CommandContext context) {
		JobRecord job = require(command.job(), JobState.WAITING);
		CommandRejectedException.rejectIf(command.leaseEpoch() <= job.leaseEpoch(), ErrorCode.STATE_CONFLICT,
				"lease epoch %d of job %s is over", command.leaseEpoch(), job.id());
		checkWorker(job, this.tables.hosts.require(command.worker()));
		this.limitCheck.check(job.spec().team(), 1);
		return save(new JobRecordBuilder(job).place(command.worker(), command.leaseEpoch()).state(JobState.PLACED, ""),
				context);
	}

	private CommandResult confirmStart(JobCommand.ConfirmStart command, CommandContext context) {
		JobRecord job = requireEpoch(command.job(), command.leaseEpoch());
		if (job.state() == JobState.RUNNING) {
			return context.unchanged(0);
		}
		checkActive(job);
		return save(new JobRecordBuilder(job).state(JobState.RUNNING, ""), context);
	}

	private CommandResult finish(JobCommand.FinishJob command, CommandContext context) {
		JobRecord job = requireEpoch(command.job(), command.leaseEpoch());
		// A late report of the end replaces an outcome that was recorded as unknown.
		if (job.state() != JobState.OUTCOME_UNKNOWN) {
			checkActive(job);
		}
		if (command.result().lengthBytes() > JobSpec.MAX_PAYLOAD_BYTES) {
			String detail = "ended with a result of %d bytes, allowed are %d".formatted(command.result().lengthBytes(),
					JobSpec.MAX_PAYLOAD_BYTES);
			return save(new JobRecordBuilder(job).state(JobState.FAILED, detail), context);
		}
		JobState ended = command.succeeded() ? JobState.SUCCEEDED : JobState.FAILED;
		return save(new JobRecordBuilder(job).state(ended, "").result(command.result()), context);
	}

	private CommandResult interrupt(JobCommand.InterruptJob command, CommandContext context) {
		JobRecord job = requireEpoch(command.job(), command.leaseEpoch());
		checkActive(job);
		boolean started = !command.certainlyNotStarted() || job.state() == JobState.RUNNING;
		JobRecordBuilder builder = new JobRecordBuilder(job);
		if (started && !job.spec().repeatable()) {
			builder.state(JobState.OUTCOME_UNKNOWN, "it was started, is not repeatable and its end was not reported");
		}
		else if (job.cancelRequested()) {
			builder.state(JobState.CANCELLED, "");
		}
		else {
			builder.checkpoint(command.checkpoint())
				.unplace(job.state() == JobState.RUNNING)
				.state(JobState.WAITING, "");
		}
		return save(builder, context);
	}

	private CommandResult cancel(JobCommand.CancelJob command, CommandContext context) {
		JobRecord job = requireOwnedBy(command.team(), command.job());
		if (job.state() == JobState.CANCELLED || job.cancelRequested()) {
			return context.unchanged(0);
		}
		CommandRejectedException.rejectIf(job.state().ended(), ErrorCode.STATE_CONFLICT, "job %s is %s", job.id(),
				job.state());
		JobRecordBuilder builder = new JobRecordBuilder(job).requestCancel();
		return save(job.state().holdsCapacity() ? builder : builder.state(JobState.CANCELLED, ""), context);
	}

	private CommandResult park(JobCommand.ParkJob command, CommandContext context) {
		JobRecord job = require(command.job(), JobState.WAITING);
		return save(new JobRecordBuilder(job).state(JobState.PARKED, command.reason()), context);
	}

	private CommandResult unpark(JobCommand.UnparkJob command, CommandContext context) {
		JobRecord job = require(command.job(), JobState.PARKED);
		return save(new JobRecordBuilder(job).state(JobState.WAITING, ""), context);
	}

	private CommandResult acknowledge(JobCommand.AcknowledgeResult command, CommandContext context) {
		JobRecord job = requireOwnedBy(command.team(), command.job());
		CommandRejectedException.rejectIf(!job.state().ended(), ErrorCode.STATE_CONFLICT, "job %s is %s", job.id(),
				job.state());
		return save(new JobRecordBuilder(job).result(Payload.EMPTY), context);
	}

	private CommandResult save(JobRecordBuilder builder, CommandContext context) {
		this.tables.jobs.put(builder.build(context.nowMillis()));
		return context.accepted();
	}

	private JobRecord require(JobId id, JobState state) {
		JobRecord job = this.tables.jobs.require(id);
		CommandRejectedException.rejectIf(job.state() != state, ErrorCode.STATE_CONFLICT, "job %s is %s, not %s", id,
				job.state(), state);
		return job;
	}

	private JobRecord requireEpoch(JobId id, long leaseEpoch) {
		JobRecord job = this.tables.jobs.require(id);
		CommandRejectedException.rejectIf(job.leaseEpoch() != leaseEpoch, ErrorCode.STATE_CONFLICT,
				"job %s has lease epoch %d, not %d", id, job.leaseEpoch(), leaseEpoch);
		return job;
	}

	// Reports jobs of other teams as unknown, so that a team cannot find out which of
	// them exist.
	private JobRecord requireOwnedBy(TeamName team, JobId id) {
		JobRecord job = this.tables.jobs.require(id);
		CommandRejectedException.rejectIf(!job.spec().team().equals(team), ErrorCode.UNKNOWN_JOB,
				"job %s does not exist", id);
		return job;
	}

	private static void checkActive(JobRecord job) {
		CommandRejectedException.rejectIf(!job.state().holdsCapacity(), ErrorCode.STATE_CONFLICT, "job %s is %s",
				job.id(), job.state());
	}

	private static void checkWorker(JobRecord job, HostRecord worker) {
		HostName name = worker.name();
		CommandRejectedException.rejectIf(!worker.state().acceptsNewJobs(), ErrorCode.STATE_CONFLICT, "host %s is %s",
				name, worker.state());
		CommandRejectedException.rejectIf(!worker.pool().equals(job.spec().pool()), ErrorCode.STATE_CONFLICT,
				"host %s is in pool %s, not %s", name, worker.pool(), job.spec().pool());
	}

}
