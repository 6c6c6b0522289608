package io.burdockpin.systemtest.check;

import java.util.List;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.state.QueueRecord;
import io.burdockpin.systemtest.fleet.Caller.Answer;
import io.burdockpin.systemtest.fleet.Caller.CallerRequest;
import io.burdockpin.systemtest.fleet.StartRecord;
import io.burdockpin.systemtest.fleet.StartRecords;
import org.junit.jupiter.api.Test;

/** A check that finds nothing proves nothing: each one is shown a planted fault. */
class ChecksCatchPlantedFaultsTests {

	private final ChangeLedger ledger = new ChangeLedger();

	/** Guards against a comparison that looks only at the queues that are left. */
	@Test
	void aLostChangeIsFound() {
		this.ledger.accepted(new QueueName("q"), 7);
		Truth.assertThat(this.ledger.faults(List.of())).containsExactly("q of version 7 is lost");
	}

	/** Guards against comparing names only: a change made again has a new version. */
	@Test
	void aChangeThatWasMadeAgainIsFound() {
		this.ledger.accepted(new QueueName("q"), 7);
		Truth.assertThat(this.ledger.faults(List.of(new QueueRecord(new QueueName("q"), true, 9))))
			.containsExactly("q has version 9 instead of 7");
	}

	/** Guards against taking the second of two different replies for the first. */
	@Test
	void aResendWithAnotherResultIsFound() {
		this.ledger.accepted(new QueueName("q"), 7);
		this.ledger.accepted(new QueueName("q"), 9);
		Truth.assertThat(this.ledger.faults(List.of(new QueueRecord(new QueueName("q"), true, 7))))
			.containsExactly("q was created at 7 and again at 9");
	}

	/** Guards against a monitor that only compares the first with the last index. */
	@Test
	void anIndexThatGoesBackIsFound() {
		try (IndexMonitor monitor = new IndexMonitor()) {
			List.of(3L, 5L, 4L, 6L).forEach((index) -> monitor.observe("e1", index));
			Truth.assertThat(monitor.stepsBack()).containsExactly("e1 went from 5 back to 4");
		}
	}

	/** Guards against a record that only counts starts on the same runner. */
	@Test
	void aSecondStartOnAnotherRunnerIsFound() {
		StartRecords records = new StartRecords(List.of(new StartRecord(10, "a", "r1", 100),
				new StartRecord(20, "b", "r1", 100), new StartRecord(30, "a", "r2", 100)));
		Truth.assertThat(records.idsStartedTwice()).containsExactly("a");
	}

	/** Guards against a check that takes the word of an answer for what happened. */
	@Test
	void aRefusalOfARequestThatRanIsFound() {
		CallerRequest request = new CallerRequest("a", "body", false, 1000);
		Answer refusal = new Answer(request, 503, "{\"code\":\"NO_RUNNER\",\"outcome\":\"NOT_RUN\"}");
		StartRecords starts = new StartRecords(List.of(new StartRecord(10, "a", "r1", 100)));
		Truth.assertThat(NotRunCheck.falseRefusals(List.of(refusal), starts)).containsExactly("a");
	}

	/** Guards against an overlap that is only counted on each runner. */
	@Test
	void theOverlapCountsAllRunners() {
		StartRecords records = new StartRecords(List.of(new StartRecord(0, "a", "r1", 100),
				new StartRecord(50, "b", "r2", 100), new StartRecord(100, "c", "r1", 100)));
		Truth.assertThat(records.largestOverlap()).isEqualTo(2);
	}

	/** Guards against a request that counts as running after its deadline. */
	@Test
	void aRequestThatEndsAtItsDeadlineDoesNotOverlapWithLaterOnes() {
		StartRecords records = new StartRecords(
				List.of(new StartRecord(0, "a", "r1", 20), new StartRecord(50, "b", "r2", 100)));
		Truth.assertThat(records.largestOverlap()).isEqualTo(1);
	}

}
