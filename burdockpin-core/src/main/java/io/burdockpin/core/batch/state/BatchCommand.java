package io.burdockpin.core.batch.state;

import java.util.List;

import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;

/** A change of the replicated state of jobs. Immutable. */
public sealed interface BatchCommand {

	/**
	 * Applies the command.
	 * @param state the state
	 * @param atMillis when the command was proposed, in milliseconds since 1970
	 * @return what it has changed
	 */
	CommandResult applyTo(BatchState state, long atMillis);

	/**
	 * Puts a configuration in force unless a newer one is.
	 *
	 * @param configuration the configuration
	 */
	record SetConfiguration(FleetConfiguration configuration) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.setConfiguration(this.configuration);
		}

	}

	/**
	 * Accepts a job. A job with the same identifier stays as it is.
	 *
	 * @param id the identifier that the caller chose
	 * @param queue the queue
	 * @param workspace the workspace, empty without one
	 * @param spec what the caller asks for
	 */
	record SubmitJob(String id, String queue, String workspace, JobSpec spec) implements BatchCommand {

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
	 * @param assignments the assignments
	 */
	record AssignRuns(List<Assignment> assignments) implements BatchCommand {

		public AssignRuns {
			assignments = List.copyOf(assignments);
		}

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			this.assignments.forEach(state::assign);
			return CommandResult.APPLIED;
		}

	}

	/**
	 * One run of a task on a runner.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param runner the life of the runner
	 */
	record Assignment(TaskId task, int run, RunnerKey runner) {

	}

	/**
	 * Takes note of ends that a runner has listed. They may be acknowledged to the runner
	 * once this is committed.
	 *
	 * @param runner the life of the runner
	 * @param ends the ends
	 */
	record NoteEnds(RunnerKey runner, List<End> ends) implements BatchCommand {

		public NoteEnds {
			ends = List.copyOf(ends);
		}

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			this.ends.forEach((end) -> state.recordEnd(this.runner, end, atMillis));
			return CommandResult.APPLIED;
		}

	}

	/**
	 * The end of a run.
	 *
	 * @param number the number that the runner gave it
	 * @param task the task
	 * @param run the number of the run
	 * @param outcome how it ended
	 * @param checkpoint the saved progress, empty if there is none
	 */
	record End(long number, TaskId task, int run, RunOutcome outcome, String checkpoint) {

	}

	/**
	 * Gives up runs that certainly are not under way and never will be.
	 *
	 * @param releases the runs
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
	 * A run that is not under way.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param checkpoint the newest progress that the runner has listed, empty if none
	 */
	record Release(TaskId task, int run, String checkpoint) {

	}

	/**
	 * Registers a runner, or what has changed about it. A new life ends the earlier lives
	 * on its host and all their runs.
	 *
	 * @param runner the runner
	 */
	record RegisterRunner(RunnerRecord runner) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.register(this.runner);
		}

	}

	/**
	 * Removes a runner that has left. Its runs must have been released.
	 *
	 * @param runner the life of the runner
	 */
	record RemoveRunner(RunnerKey runner) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.remove(this.runner);
		}

	}

	/**
	 * Accepts a maintenance wave.
	 *
	 * @param wave the wave
	 */
	record StartWave(MaintenanceWave wave) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.startWave(this.wave);
		}

	}

	/**
	 * Notes where a host of a wave stands. {@link MaintenancePhase#ORDERED} is committed
	 * before the order is sent.
	 *
	 * @param wave the number of the wave
	 * @param host the host
	 * @param phase where it stands
	 */
	record SetUpkeep(long wave, String host, MaintenancePhase phase) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.setMaintenancePhase(this.wave, this.host, this.phase, atMillis);
		}

	}

	/**
	 * Notes where a move of a host stands. {@link MovePhase#ORDERED} is committed before
	 * the order is sent.
	 *
	 * @param host the host
	 * @param pool the pool it moves to
	 * @param phase where it stands
	 */
	record SetMove(String host, String pool, MovePhase phase) implements BatchCommand {

		@Override
		public CommandResult applyTo(BatchState state, long atMillis) {
			return state.setMove(this.host, this.pool, this.phase, atMillis);
		}

	}

}
