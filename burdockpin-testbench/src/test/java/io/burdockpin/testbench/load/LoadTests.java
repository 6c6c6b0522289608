package io.burdockpin.testbench.load;

import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.testbench.program.FakeEntryHost;
import io.burdockpin.testbench.program.TestbenchProgram;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.junit.jupiter.api.Test;

/** Guards against a load tool that overlooks wrong answers or does not end. */
class LoadTests {

	@Test
	void anAnswerThatBelongsToAnotherRequestIsCountedAsWrong() {
		LoadTally tally = new LoadTally();
		tally.onAnswer("a", "a", 2000);
		tally.onAnswer("a", "b", 2000);
		LoadReport report = tally.report(10);
		Truth.assertThat(report.answered()).isEqualTo(1);
		Truth.assertThat(report.wrongAnswers()).isEqualTo(1);
		Truth.assertThat(report.p99Millis()).isWithin(0.01).of(2);
	}

	@Test
	void rotatingDemandIsFiveTimesTheMeanInTurnAndATwentiethOtherwise() {
		Truth.assertThat(DemandShape.ROTATING.factor(0, 5, 2999, 3000)).isEqualTo(5.0);
		Truth.assertThat(DemandShape.ROTATING.factor(0, 5, 3000, 3000)).isEqualTo(0.05);
		Truth.assertThat(DemandShape.ROTATING.factor(1, 5, 3000, 3000)).isEqualTo(5.0);
	}

	@Test
	void anOpenLoopOwesFractionsOfRequests() {
		QueueProgress progress = new QueueProgress();
		Truth.assertThat(progress.accrue(3, 500)).isEqualTo(1);
		Truth.assertThat(progress.accrue(3, 1000)).isEqualTo(2);
	}

	@Test
	void aRunEndsAfterItsNumberOfRequests() throws Exception {
		ActorTestKit kit = ActorTestKit.create(TestbenchProgram.actorConfiguration());
		try (FakeEntryHost entry = new FakeEntryHost("{}")) {
			TestProbe<LoadReport> probe = kit.createTestProbe(LoadReport.class);
			kit.spawn(LoadActor.create(new LoadSettings(List.of(entry.address()), List.of("q"), Optional.empty(), true,
					LoadLoop.CLOSED, 2, 1, DemandShape.CONSTANT, 1000, 10, 20_000, 128, 5000), probe.getRef()));
			LoadReport report = probe.receiveMessage(java.time.Duration.ofSeconds(30));
			Truth.assertThat(report.sent()).isEqualTo(10);
			Truth.assertThat(report.answered()).isEqualTo(10);
		}
		finally {
			kit.shutdownTestKit();
		}
	}

}
