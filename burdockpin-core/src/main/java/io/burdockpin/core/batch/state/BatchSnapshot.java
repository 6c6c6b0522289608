package io.burdockpin.core.batch.state;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.HostMove;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;

/**
 * Copy of a {@link BatchState}. Immutable.
 *
 * @param configuration the configuration in force
 * @param jobs the jobs, oldest first
 * @param runners the runners
 * @param runs the runs that may be under way
 * @param waves the maintenance waves
 * @param moves the moves of hosts that are not over
 * @param hostOrderMillis when an order about each host was committed last
 */
public record BatchSnapshot(Optional<FleetConfiguration> configuration, List<JobImage> jobs, List<RunnerRecord> runners,
		List<Run> runs, List<WaveImage> waves, List<HostMove> moves, Map<String, Long> hostOrderMillis) {

	/**
	 * Copy of a job.
	 *
	 * @param id its identifier
	 * @param queue its queue
	 * @param workspace its workspace
	 * @param spec what the caller asked for
	 * @param acceptedMillis when it was accepted
	 * @param phase where it stands
	 * @param endedMillis when it ended, 0 if it has not
	 * @param doneOccurrences how many occurrences are done
	 * @param occurrences the open occurrences
	 */
	public record JobImage(String id, String queue, String workspace, JobSpec spec, long acceptedMillis,
			BatchJobPhase phase, long endedMillis, int doneOccurrences, List<OccurrenceImage> occurrences) {

		static JobImage of(BatchJob job, Map<String, Long> endedMillis) {
			return new JobImage(job.id(), job.queue(), job.workspace(), job.spec(), job.acceptedMillis(), job.phase(),
					endedMillis.getOrDefault(job.id(), 0L), job.doneOccurrences(),
					job.occurrences().stream().map(OccurrenceImage::of).toList());
		}

		BatchJob toJob() {
			BatchJob job = new BatchJob(this.id, this.queue, this.workspace, this.spec, this.acceptedMillis);
			this.occurrences.forEach((image) -> job.open(image.toOccurrence(this.spec)));
			job.restore(this.phase, this.doneOccurrences);
			return job;
		}

	}

	/**
	 * Copy of an occurrence.
	 *
	 * @param number its number
	 * @param steps its steps
	 */
	public record OccurrenceImage(int number, List<StepImage> steps) {

		static OccurrenceImage of(Occurrence occurrence) {
			return new OccurrenceImage(occurrence.number(), occurrence.steps().stream().map(StepImage::of).toList());
		}

		Occurrence toOccurrence(JobSpec spec) {
			List<StepTasks> restored = new ArrayList<>();
			for (int step = 0; step < this.steps.size(); step++) {
				StepImage image = this.steps.get(step);
				restored.add(new StepTasks(spec.steps().get(step),
						new ArrayList<>(image.tasks().stream().map(TaskImage::toTask).toList()), image.gangFailures(),
						image.lastFailedGangRun()));
			}
			return new Occurrence(this.number, restored);
		}

	}

	/**
	 * Copy of a step.
	 *
	 * @param gangFailures how often its gang has failed
	 * @param lastFailedGangRun the newest run of the gang that has failed
	 * @param tasks its tasks
	 */
	public record StepImage(int gangFailures, int lastFailedGangRun, List<TaskImage> tasks) {

		static StepImage of(StepTasks step) {
			return new StepImage(step.gangFailures(), step.lastFailedGangRun(),
					step.tasks().stream().map(TaskImage::of).toList());
		}

	}

	/**
	 * Copy of a task; its run is among the runs of the snapshot.
	 *
	 * @param done whether it is done
	 * @param lastRun the number of its newest run
	 * @param failures how many runs have failed
	 * @param checkpoint its saved progress
	 */
	public record TaskImage(boolean done, int lastRun, int failures, String checkpoint) {

		static TaskImage of(BatchTask task) {
			return new TaskImage(task.isDone(), task.lastRun(), task.failures(), task.checkpoint());
		}

		BatchTask toTask() {
			return new BatchTask(this.done, this.lastRun, this.failures, this.checkpoint);
		}

	}

	/**
	 * Copy of a maintenance wave.
	 *
	 * @param wave the order
	 * @param hosts where its hosts stand
	 * @param orderedLives the lives of the runners when the upkeep was ordered
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
