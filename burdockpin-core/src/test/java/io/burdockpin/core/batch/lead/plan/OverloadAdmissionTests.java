package io.burdockpin.core.batch.lead.plan;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

/**
 * Load: a pool of one runner with jobs in progress. A task takes 500 ms, and four run at
 * the same time; a result is worth nothing after 3 x (600 ms + 1.6 x 500 ms).
 */
class OverloadAdmissionTests {

	private static final long NOW_MILLIS = 1_000_000;

	private static final JobSpec SMALL = BatchFixtures.job(BatchFixtures.step(1));

	private final BatchState state = new BatchState();

	OverloadAdmissionTests() {
		apply(new BatchCommand.SetConfiguration(BatchFixtures.configuration(1, Resources.NONE, "pool", "other")));
	}

	/** Guards against jobs that are accepted although their result will be worthless. */
	@Test
	void aJobBehindMoreStartedWorkThanItCanWaitForIsRejected() {
		addRunner("r1", "pool");
		start("short", 16);
		Truth.assertThat(retryMillis("new", SMALL, 0)).isEmpty();
		start("long", 48);
		Truth.assertThat(retryMillis("new", SMALL, 0)).isPresent();
	}

	/** Guards against rejections because of jobs that a new one would precede. */
	@Test
	void jobsThatHaveNotBeenStartedAreNoReasonForARejection() {
		addRunner("r1", "pool");
		for (int number = 0; number < 100; number++) {
			submit("waiting" + number, 40);
		}
		Truth.assertThat(retryMillis("new", SMALL, 0)).isEmpty();
	}

	/** Guards against rejections by a pool that gets hosts in time. */
	@Test
	void spareHostsAndWhatIsFreeInOtherPoolsCountAsCapacity() {
		addRunner("r1", "pool");
		start("long", 64);
		Truth.assertThat(retryMillis("new", SMALL, 0)).isPresent();
		Truth.assertThat(retryMillis("new", SMALL, 3)).isEmpty();
		addRunner("r2", "other");
		addRunner("r3", "other");
		Truth.assertThat(retryMillis("new", SMALL, 0)).isEmpty();
	}

	/** Guards against rejections while the runners are still starting. */
	@Test
	void aPoolWithoutRunnersAcceptsJobs() {
		submit("waiting", 64);
		Truth.assertThat(retryMillis("new", SMALL, 0)).isEmpty();
	}

	@Test
	void longRunningAndScheduledJobsAreAccepted() {
		addRunner("r1", "pool");
		start("long", 80);
		Truth.assertThat(retryMillis("new", BatchFixtures.job(BatchFixtures.longRunning(1, 0, 1)), 0)).isEmpty();
		Truth.assertThat(retryMillis("new", new JobSpec("", List.of(BatchFixtures.step(1)), 2, NOW_MILLIS, 1_000), 0))
			.isEmpty();
	}

	/** Guards against callers that return all at once. */
	@Test
	void theRetryDelayIsSpreadOverTheJobsAndTheSameForEachOfThem() {
		addRunner("r1", "pool");
		start("long", 80);
		List<Integer> delays = IntStream.range(0, 50)
			.mapToObj((number) -> retryMillis("job-" + number * 7_919, SMALL, 0).get())
			.toList();
		Truth.assertThat(delays.stream().distinct().count()).isAtLeast(40);
		Truth.assertThat(delays.stream().allMatch((millis) -> millis >= 1_000 && millis <= 45_000)).isTrue();
		Truth.assertThat(retryMillis("job-0", SMALL, 0)).hasValue(delays.get(0));
	}

	private Optional<Integer> retryMillis(String job, JobSpec spec, int spareHosts) {
		BatchQueue queue = BatchFixtures.queue("queue-pool", "pool", 2);
		return OverloadAdmission.of(this.state, new DurationEstimator(), spareHosts).retryAfterMillis(job, queue, spec);
	}

	private void addRunner(String id, String pool) {
		RunnerRecord runner = BatchFixtures.runner(id, pool, 1);
		apply(BatchFixtures.register(runner));
	}

	private void submit(String id, int tasks) {
		StepSpec step = BatchFixtures.step(tasks);
		apply(BatchFixtures.submit(id, "queue-pool", "team", BatchFixtures.job(step)));
	}

	private void start(String id, int tasks) {
		submit(id, tasks);
		apply(new BatchCommand.AssignRuns(
				List.of(new BatchCommand.Assignment(new TaskId(id, 0, 0, 0), 1, new RunnerKey("r1", 1)))));
	}

	private void apply(BatchCommand command) {
		this.state.apply(new CommandGroup(NOW_MILLIS, List.of(command)));
	}

}
