package io.burdockpin.core.batch.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.DataCentreClosing;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.HostMove;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.QueueAddress;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;

/**
 * Snapshot of a {@link BatchState}. Immutable.
 *
 * @param configuration the configuration in force; empty before the first one
 * @param jobs the active jobs and those that ended recently, oldest first
 * @param runners the latest known incarnation of each runner
 * @param runs the runs that may be in progress
 * @param waves the maintenance waves
 * @param moves the moves of hosts that are not completed
 * @param hostOrderMillis when the last order about each host was committed, in
 * milliseconds since 1970
 * @param registeredSequences sequence number of the announcement that each runner was
 * registered with, by identifier; empty in snapshots of earlier versions
 * @param retiredQueues the queues of active jobs that the configuration no longer has, as
 * they were last configured; empty in snapshots of earlier versions
 * @param closedDataCentres the closed data centres; empty in snapshots of earlier
 * versions
 */
public record BatchSnapshot(Optional<FleetConfiguration> configuration, List<JobImage> jobs, List<RunnerRecord> runners,
		List<Run> runs, List<WaveImage> waves, List<HostMove> moves, Map<String, Long> hostOrderMillis,
		Map<String, Long> registeredSequences, List<BatchQueue> retiredQueues,
		List<DataCentreClosing> closedDataCentres) {

	public BatchSnapshot {
		registeredSequences = Optional.ofNullable(registeredSequences).map(Map::copyOf).orElse(Map.of());
		retiredQueues = Optional.ofNullable(retiredQueues).map(List::copyOf).orElse(List.of());
		closedDataCentres = Optional.ofNullable(closedDataCentres).map(List::copyOf).orElse(List.of());
	}

	/**
	 * Snapshot of a {@link BatchJob}.
	 *
	 * @param id the identifier of the job
	 * @param queue the name that its queue had when it was submitted
	 * @param workspace the name of its workspace; may be empty
	 * @param spec the specification as submitted by the caller
	 * @param acceptedMillis when it was accepted, in milliseconds since 1970
	 * @param phase the phase of the job
	 * @param endedMillis when it ended, in milliseconds since 1970; 0 if it has not ended
	 * @param doneOccurrences number of completed occurrences
	 * @param occurrences the open occurrences
	 * @param address identifies its queue; empty in snapshots of earlier versions
	 */
	public record JobImage(String id, String queue, String workspace, JobSpec spec, long acceptedMillis,
			BatchJobPhase phase, long endedMillis, int doneOccurrences, List<OccurrenceImage> occurrences,
			Optional<QueueAddress> address) {

		static JobImage of(BatchJob job, Map<String, Long> endedMillis, boolean withAllTasks) {
			return new JobImage(job.id(), job.queueName(), job.workspace(), job.spec(), job.acceptedMillis(),
					job.phase(), endedMillis.getOrDefault(job.id(), 0L), job.doneOccurrences(),
					job.occurrences()
						.stream()
						.map((occurrence) -> OccurrenceImage.of(occurrence, withAllTasks))
						.toList(),
					job.address());
		}

		BatchJob toJob() {
			BatchJob job = new BatchJob(this.id, this.queue, this.address, this.workspace, this.spec,
					this.acceptedMillis);
			this.occurrences.forEach((image) -> job.open(image.toOccurrence(this.spec)));
			job.restore(this.phase, this.doneOccurrences);
			return job;
		}

	}

	/**
	 * Snapshot of an {@link Occurrence}.
	 *
	 * @param number the number of the occurrence, from 0
	 * @param steps its steps, in the order of the specification
	 */
	public record OccurrenceImage(int number, List<StepImage> steps) {

		static OccurrenceImage of(Occurrence occurrence, boolean withAllTasks) {
			return new OccurrenceImage(occurrence.number(),
					occurrence.steps().stream().map((step) -> StepImage.of(step, withAllTasks)).toList());
		}

		Occurrence toOccurrence(JobSpec spec) {
			List<StepTasks> restored = new ArrayList<>();
			for (int step = 0; step < this.steps.size(); step++) {
				StepImage image = this.steps.get(step);
				restored.add(new StepTasks(spec.steps().get(step), image.changedTasks(), image.gangFailures(),
						image.lastFailedGangRun()));
			}
			return new Occurrence(this.number, restored);
		}

	}

	/**
	 * Snapshot of a {@link StepTasks}.
	 *
	 * @param gangFailures number of failed runs of the gang
	 * @param lastFailedGangRun the number of the latest failed run of the gang; 0 if none
	 * has failed
	 * @param tasks its tasks, by index; tasks at the end that were never changed may be
	 * missing
	 */
	public record StepImage(int gangFailures, int lastFailedGangRun, List<TaskImage> tasks) {

		static StepImage of(StepTasks step, boolean withAllTasks) {
			List<BatchTask> tasks = withAllTasks ? step.tasks() : step.changedTasks();
			return new StepImage(step.gangFailures(), step.lastFailedGangRun(),
					tasks.stream().map(TaskImage::of).toList());
		}

		List<BatchTask> changedTasks() {
			int count = this.tasks.size();
			while (count > 0 && this.tasks.get(count - 1).equals(TaskImage.UNCHANGED)) {
				count--;
			}
			return new ArrayList<>(this.tasks.subList(0, count).stream().map(TaskImage::toTask).toList());
		}

	}

	/**
	 * Snapshot of a {@link BatchTask}. Its run, if any, is among the runs of the
	 * {@link BatchSnapshot}.
	 *
	 * @param done whether the task is done
	 * @param lastRun the number of its latest run; 0 if it has not run yet
	 * @param failures number of failed runs
	 * @param checkpoint its latest checkpoint; empty if there is none
	 */
	public record TaskImage(boolean done, int lastRun, int failures, String checkpoint) {

		private static final TaskImage UNCHANGED = new TaskImage(false, 0, 0, "");

		static TaskImage of(BatchTask task) {
			return task.isUnchanged() ? UNCHANGED
					: new TaskImage(task.isDone(), task.lastRun(), task.failures(), task.checkpoint());
		}

		BatchTask toTask() {
			return new BatchTask(this.done, this.lastRun, this.failures, this.checkpoint);
		}

	}

	/**
	 * Snapshot of a {@link WaveProgress}.
	 *
	 * @param wave the wave as ordered by the operator
	 * @param hosts the phase of each host
	 * @param orderedLives the incarnation of the runner on each host when its maintenance
	 * was ordered
	 */
	public record WaveImage(MaintenanceWave wave, Map<String, MaintenancePhase> hosts,
			Map<String, RunnerKey> orderedLives) {

		static WaveImage of(WaveProgress progress) {
			return new WaveImage(progress.wave(), new LinkedHashMap<>(progress.hosts()),
					new LinkedHashMap<>(progress.orderedIncarnations()));
		}

		WaveProgress toProgress() {
			return new WaveProgress(this.wave, this.hosts, this.orderedLives);
		}

	}

}
