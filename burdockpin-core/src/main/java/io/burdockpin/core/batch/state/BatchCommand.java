package io.burdockpin.core.batch.state;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.core.batch.model.DataCentreClosing;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.QueueAddress;
import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;

/** A replicated command that changes the {@link BatchState}. Immutable. */
public sealed interface BatchCommand {

	/**
	 * Applies the command.
	 * @param state the state machine to change
	 * @param atMillis when the command was proposed, in milliseconds since 1970
	 * @return whether the command took effect
	 */
	CommandResult applyTo(BatchState state, long atMillis);

	/**
	 * Replaces the configuration, unless the current one has the same or a higher
	 * version. Fails the jobs that have used up the attempts that it permits.
	 *
	 * @param configuration the new configuration
	 */
	record SetConfiguration(FleetConfiguration configuration) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.setConfiguration(this.configuration, atMillis);
		}

	}

	/**
	 * Accepts a job. Has no effect if the job exists. Refused if another queue or
	 * workspace has a job with its identifier, or if the configuration no longer has the
	 * queue.
	 *
	 * @param id the identifier of the job, chosen by the caller
	 * @param queue the name of the queue when the job was submitted
	 * @param workspace the name of the workspace; empty for a job that was submitted to
	 * an open queue without a key
	 * @param spec the specification of the job
	 * @param address identifies the queue; empty in commands of earlier versions
	 */
	record SubmitJob(String id, String queue, String workspace, JobSpec spec,
			Optional<QueueAddress> address) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.submit(this, atMillis);
		}

	}

	/**
	 * Cancels a job.
	 *
	 * @param id the identifier of the job
	 */
	record CancelJob(String id) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.cancel(this.id, atMillis);
		}

	}

	/**
	 * Opens an occurrence that is due.
	 *
	 * @param id the identifier of the job
	 * @param occurrence the number of the occurrence
	 */
	record OpenOccurrence(String id, int occurrence) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.open(this.id, this.occurrence);
		}

	}

	/**
	 * Assigns tasks to runners. Committed before the orders are sent, so that every later
	 * leader knows where a task may run.
	 *
	 * @param assignments the runs to create
	 */
	record AssignRuns(List<Assignment> assignments) implements BatchCommand {

		public AssignRuns {
			assignments = List.copyOf(assignments);
		}

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			state.assign(this.assignments);
			return CommandResult.APPLIED;
		}

	}

	/**
	 * Assignment of a task to a runner.
	 *
	 * @param task the task to run
	 * @param run the number of the new run, higher than that of any earlier run
	 * @param runner the incarnation of the runner
	 */
	record Assignment(TaskId task, int run, RunnerKey runner) {

	}

	/**
	 * Records what a runner has reported: the ends of runs, which may be acknowledged to
	 * the runner once the command is committed, and the first start of a task of a job.
	 *
	 * @param runner the incarnation of the runner
	 * @param ends the ends in the order in which they were reported
	 * @param startedJobs the identifiers of jobs of which the runner has started a task;
	 * empty in commands of earlier versions
	 */
	record NoteEnds(RunnerKey runner, List<End> ends, List<String> startedJobs) implements BatchCommand {

		public NoteEnds {
			ends = List.copyOf(ends);
			startedJobs = Optional.ofNullable(startedJobs).map(List::copyOf).orElse(List.of());
		}

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			this.startedJobs.forEach(state::recordStart);
			this.ends.forEach((end) -> state.recordEnd(this.runner, end, atMillis));
			return CommandResult.APPLIED;
		}

	}

	/**
	 * The end of a run.
	 *
	 * @param number sequence number of the end, assigned by the runner
	 * @param task the task of the run
	 * @param run the number of the run
	 * @param outcome how the run ended
	 * @param checkpoint the last checkpoint of the run; empty if there is none
	 */
	record End(long number, TaskId task, int run, RunOutcome outcome, String checkpoint) {

	}

	/**
	 * Releases runs that certainly are not in progress and will never start.
	 *
	 * @param releases the runs to release
	 */
	record ReleaseRuns(List<Release> releases) implements BatchCommand {

		public ReleaseRuns {
			releases = List.copyOf(releases);
		}

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			this.releases.forEach(state::release);
			return CommandResult.APPLIED;
		}

	}

	/**
	 * Release of a run that is not in progress.
	 *
	 * @param task the task of the run
	 * @param run the number of the run
	 * @param checkpoint the latest checkpoint that the runner has reported; empty if
	 * there is none
	 */
	record Release(TaskId task, int run, String checkpoint) {

	}

	/**
	 * Registers a runner or updates its attributes. A new incarnation removes the earlier
	 * ones with the same identifier or on the same host and ends their runs. Refused if a
	 * later announcement of the incarnation is registered.
	 *
	 * @param runner the attributes of the runner
	 * @param sequence the sequence number of the announcement; empty in commands of
	 * earlier versions, which apply in the order of the log
	 */
	record RegisterRunner(RunnerRecord runner, OptionalLong sequence) implements BatchCommand {

		/** Sequence number of a departure, which follows all announcements. */
		static final long DEPARTURE = Long.MAX_VALUE;

		/**
		 * Registers that a runner is leaving. Members of earlier versions know it as
		 * draining.
		 * @param runner the attributes of the runner
		 * @return the command to commit
		 */
		public static RegisterRunner departure(RunnerRecord runner) {
			return new RegisterRunner(runner.withoutNewTasks(), OptionalLong.of(DEPARTURE));
		}

		/**
		 * Tells whether the runner is leaving.
		 * @return {@code false} for a runner that only drains
		 */
		public boolean isDeparture() {
			return this.sequence.equals(OptionalLong.of(DEPARTURE));
		}

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.register(this.runner, this.sequence);
		}

	}

	/**
	 * Removes a runner that has left. Its runs must have been released before.
	 *
	 * @param runner the incarnation of the runner
	 */
	record RemoveRunner(RunnerKey runner) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.remove(this.runner);
		}

	}

	/**
	 * Accepts a maintenance wave. Has no effect if a wave with the same number exists.
	 *
	 * @param wave the wave as ordered by the operator
	 */
	record StartWave(MaintenanceWave wave) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.startWave(this.wave);
		}

	}

	/**
	 * Sets the phase of a host in a maintenance wave. {@link MaintenancePhase#ORDERED} is
	 * committed before the order is sent.
	 *
	 * @param wave the number of the wave
	 * @param host the name of the host
	 * @param phase the new phase
	 */
	record SetUpkeep(long wave, String host, MaintenancePhase phase) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.setMaintenancePhase(this.wave, this.host, this.phase, atMillis);
		}

	}

	/**
	 * Sets the phase of a move of a host to another pool. {@link MovePhase#ORDERED} is
	 * committed before the order is sent.
	 *
	 * @param host the name of the host
	 * @param pool the name of the destination pool
	 * @param phase the new phase
	 */
	record SetMove(String host, String pool, MovePhase phase) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.setMove(this.host, this.pool, this.phase, atMillis);
		}

	}

	/**
	 * Closes a data centre: no task is started there until it is opened. Has no effect if
	 * it is closed. Members of earlier versions cannot read the command.
	 *
	 * @param dataCentre the name of the data centre
	 * @param origin who ordered it, as text for operators
	 */
	record CloseDataCentre(String dataCentre, String origin) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.close(new DataCentreClosing(this.dataCentre, atMillis, this.origin));
		}

	}

	/**
	 * Opens a closed data centre. Has no effect if it is open. Members of earlier
	 * versions cannot read the command.
	 *
	 * @param dataCentre the name of the data centre
	 * @param origin who ordered it, as text for operators
	 */
	record OpenDataCentre(String dataCentre, String origin) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.open(this.dataCentre);
		}

	}

}
