package io.burdockpin.core.batch.lead.plan;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.Workspace;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

/**
 * Load: one workspace submits seven times its usual number of jobs, and all together ask
 * for more than the capacity of the pool.
 */
class WorkspaceSharesTests {

	private static final int SEEDS = Integer.getInteger("placement.seeds", 4);

	private static final long NOW_MILLIS = 1_000_000;

	/**
	 * Four workspaces that submit 3 jobs a second each, and one that submits 21, in a
	 * pool that can do 20 jobs a second.
	 */
	private static final OverloadSimulation.Load LOAD = OverloadSimulation.Load.of(10_000, (share) -> 1.65)
		.withWorkspaces(5, 4, 21.0 / 33);

	private final BatchState state = new BatchState();

	/** Guards against a workspace whose surplus makes the jobs of all others late. */
	@Test
	void oneWorkspaceThatSubmitsSevenTimesItsUsualDoesNotPushOutTheOthers() {
		double othersBefore = mean(OrderRule.LEAST_SLACK, (run) -> run.jobsInTime((job) -> job.workspace() != 0));
		double others = mean(OrderRule.VALUE_IN_TIME, (run) -> run.jobsInTime((job) -> job.workspace() != 0));
		double surplus = mean(OrderRule.VALUE_IN_TIME, (run) -> run.jobsInTime((job) -> job.workspace() == 0));
		System.out.printf(Locale.ROOT,
				"seven times the usual, %d seeds: other workspaces in time %.3f, with the order of slack %.3f; "
						+ "the workspace itself %.3f%n",
				SEEDS, others, othersBefore, surplus);
		Truth.assertThat(others).isAtLeast(othersBefore + 0.1);
		Truth.assertThat(others).isAtLeast(surplus + 0.1);
		Truth.assertThat(surplus).isAtLeast(0.1);
	}

	/** Guards against shares that change after a change of leader. */
	@Test
	void aNewLeaderDerivesTheSameSharesFromASnapshot() {
		configure(2);
		for (int number = 0; number < 40; number++) {
			submit("job" + number, "team", NOW_MILLIS + number * 50);
		}
		List<String> beyond = beyond(this.state);
		Truth.assertThat(beyond).hasSize(27);
		Truth.assertThat(beyond(BatchState.restore(this.state.snapshot()))).isEqualTo(beyond);
	}

	/** Guards against a burst after a quiet time that is held against its workspace. */
	@Test
	void aWorkspaceMaySubmitTheJobsOfSomeSecondsAtOnce() {
		configure(2);
		for (int number = 0; number < 10; number++) {
			submit("job" + number, "team", NOW_MILLIS);
		}
		Truth.assertThat(beyond(this.state)).isEmpty();
		submit("one-more", "team", NOW_MILLIS);
		submit("later", "team", NOW_MILLIS + 500);
		Truth.assertThat(beyond(this.state)).containsExactly("one-more");
	}

	/** Guards against callers without a key that are pushed out by a single workspace. */
	@Test
	void jobsWithoutAWorkspaceShareTheWeightOfAllWorkspaces() {
		configure(2);
		for (int number = 0; number < 30; number++) {
			submit("open" + number, "", NOW_MILLIS);
		}
		Truth.assertThat(beyond(this.state)).hasSize(10);
	}

	private List<String> beyond(BatchState examined) {
		WorkspaceShares shares = WorkspaceShares.of(examined.jobs(), examined.configuration().get());
		List<String> beyond = new ArrayList<>();
		examined.jobs().stream().filter(shares::isBeyondWeight).forEach((job) -> beyond.add(job.id()));
		return beyond;
	}

	private static double mean(OrderRule rule, ToDoubleFunction<OverloadSimulation> figure) {
		return IntStream.range(0, SEEDS)
			.mapToObj((seed) -> new OverloadSimulation(LOAD, rule, seed).run())
			.mapToDouble(figure)
			.average()
			.orElseThrow();
	}

	private void configure(int weight) {
		this.state.apply(new CommandGroup(NOW_MILLIS,
				List.of(new BatchCommand.SetConfiguration(
						new FleetConfiguration(1, List.of(BatchFixtures.queue("queue", "pool", 2)),
								List.of(new BatchPool("pool", false, false)),
								List.of(new Workspace("team", Set.of("key"), weight, Resources.NONE),
										new Workspace("other", Set.of("key2"), weight, Resources.NONE)),
								Payload.EMPTY)))));
	}

	private void submit(String id, String workspace, long acceptedMillis) {
		this.state.apply(new CommandGroup(acceptedMillis,
				List.of(BatchFixtures.submit(id, "queue", workspace, BatchFixtures.job(BatchFixtures.step(1))))));
	}

}
