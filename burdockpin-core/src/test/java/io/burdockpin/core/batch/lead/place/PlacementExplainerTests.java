package io.burdockpin.core.batch.lead.place;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.call.CallRules;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.core.batch.call.JobAdmission;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.state.BatchFixtures;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

class PlacementExplainerTests {

	private static final Resources HOST = new Resources(4_000, 16_000, 0);

	/** Guards against an explanation that names other runners than the next round. */
	@Test
	void theExplainedPlacesAreThoseOfTheNextRoundInRandomStates() {
		int placed = 0;
		int waiting = 0;
		for (int seed = 0; seed < 60; seed++) {
			PlacementModel pool = randomPool(seed);
			Random random = new Random(seed);
			JobSpec spec = BatchFixtures.job(randomStep(pool, random));
			PlacementExplanation explained = explain(pool, submission(spec));
			PlacementExplanation.Step step = explained.steps().get(0);
			pool.state.apply(new CommandGroup(pool.nowMillis,
					List.of(BatchFixtures.submit("asked", "queue-pool", "team", spec))));
			PlacementExplanation again = explain(pool, Optional.of("asked"));
			Set<String> actual = pool.plan()
				.assignments()
				.stream()
				.filter((assignment) -> assignment.task().job().equals("asked"))
				.map((assignment) -> assignment.task().index() + " " + assignment.runner().id())
				.collect(Collectors.toSet());
			Truth.assertWithMessage("seed %s", seed).that(places(step)).isEqualTo(actual);
			Truth.assertWithMessage("seed %s", seed).that(again.steps()).isEqualTo(explained.steps());
			boolean waits = pool.waits.waitingSteps().stream().anyMatch((first) -> first.job().equals("asked"));
			Truth.assertWithMessage("seed %s", seed).that(step.waitMillis() > 0).isEqualTo(waits);
			placed += actual.isEmpty() ? 0 : 1;
			waiting += waits ? 1 : 0;
		}
		Truth.assertThat(placed).isAtLeast(10);
		Truth.assertThat(waiting).isAtLeast(5);
	}

	/** Guards against an explanation that submits the job or begins its wait. */
	@Test
	void anExplanationChangesNeitherTheStateNorTheWaits() {
		PlacementModel pool = randomPool(3);
		Object before = pool.state.snapshot();
		explain(pool, submission(BatchFixtures.job(pool.step(8, 1_000, 1_000, "rack0", false))));
		Truth.assertThat(pool.state.snapshot()).isEqualTo(before);
		Truth.assertThat(pool.state.job("asked")).isEmpty();
		Truth.assertThat(pool.waits.drainNotices().stream().noneMatch((notice) -> notice.step().job().equals("asked")))
			.isTrue();
	}

	@Test
	void eachRunnerThatCannotTakeATaskHasItsFirstReason() {
		PlacementModel pool = new PlacementModel(3, PlacementModel.Policy.DECIDE, 1);
		pool.addRack("a", 1, HOST);
		pool.addRack("b", 1, HOST);
		pool.submit("first", pool.step(4, 1_000, 5_000, "a", false));
		pool.round();
		PlacementExplanation.Step step = explain(pool,
				submission(BatchFixtures.job(pool.step(1, 1_000, 1_000, "", false))))
			.steps()
			.get(0);
		Truth.assertThat(step.position()).isEqualTo(Optional.of(1));
		Truth.assertThat(step.candidates())
			.containsExactly(new PlacementExplanation.Considered("a-0", "a", 0, Optional.of(Exclusion.NO_CAPACITY)),
					new PlacementExplanation.Considered("b-0", "b", 4_000, Optional.empty()));
	}

	@Test
	void aSubmissionThatWouldBeRefusedIsExplainedByItsReason() {
		PlacementModel pool = new PlacementModel(3, PlacementModel.Policy.DECIDE, 1);
		JobSpec spec = BatchFixtures.job(BatchFixtures.step(1));
		FleetCall.Submit unknown = new FleetCall.Submit("elsewhere", "/x/asked", Optional.empty(), spec);
		Truth.assertThat(explain(pool, unknown).refusal()).isEqualTo(Optional.of("NO_SUCH_QUEUE"));
		FleetCall.Submit withoutKey = new FleetCall.Submit("host", "/queue-pool/asked", Optional.empty(), spec);
		Truth.assertThat(explain(pool, withoutKey).refusal()).isEqualTo(Optional.of("KEY_REFUSED"));
		FleetReply reply = new CallRules().explain(
				new FleetCall.ExplainPlacement(Optional.of("missing"), Optional.empty()), explainer(pool),
				JobAdmission.ALWAYS, pool.state);
		Truth.assertThat(reply).isEqualTo(new FleetReply.Refused(FleetReply.Reason.NO_SUCH_JOB, Optional.empty()));
	}

	private static PlacementModel randomPool(int seed) {
		Random random = new Random(seed);
		PlacementModel pool = new PlacementModel(1.5 + random.nextInt(2), PlacementModel.Policy.DECIDE, seed);
		for (int rack = 0; rack < 4; rack++) {
			pool.addRack("rack" + rack, 1 + random.nextInt(3), HOST);
		}
		for (int job = 0; job < random.nextInt(12); job++) {
			pool.submit("job" + job, randomStep(pool, random));
		}
		pool.run(100 + random.nextInt(500));
		if (random.nextInt(4) == 0) {
			pool.suspects.add(pool.runners.get(0).key());
		}
		pool.submit("rival", randomStep(pool, random));
		return pool;
	}

	private static StepSpec randomStep(PlacementModel pool, Random random) {
		String rack = (random.nextInt(3) == 0) ? "" : "rack" + random.nextInt(4);
		return pool.step(1 + random.nextInt(8), 500 + random.nextInt(2_500), 300 + random.nextInt(2_000), rack,
				random.nextInt(3) == 0);
	}

	private static FleetCall.Submit submission(JobSpec spec) {
		return new FleetCall.Submit("host", "/queue-pool/asked", Optional.of("key"), spec);
	}

	private static Set<String> places(PlacementExplanation.Step step) {
		return step.places().stream().map((place) -> place.task() + " " + place.runner()).collect(Collectors.toSet());
	}

	private static PlacementExplanation explain(PlacementModel pool, FleetCall.Submit submission) {
		return explain(pool, new FleetCall.ExplainPlacement(Optional.empty(), Optional.of(submission)));
	}

	private static PlacementExplanation explain(PlacementModel pool, Optional<String> job) {
		return explain(pool, new FleetCall.ExplainPlacement(job, Optional.empty()));
	}

	private static PlacementExplanation explain(PlacementModel pool, FleetCall.ExplainPlacement call) {
		return ((FleetReply.Placement) new CallRules().explain(call, explainer(pool), JobAdmission.ALWAYS, pool.state))
			.explanation();
	}

	private static PlacementExplainer explainer(PlacementModel pool) {
		return pool.explainer();
	}

}
