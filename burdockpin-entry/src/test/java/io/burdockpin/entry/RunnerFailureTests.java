package io.burdockpin.entry;

import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import io.burdockpin.core.state.ClaimCommand;
import io.burdockpin.entry.fake.FakeRunner;
import io.burdockpin.entry.fake.TestEntry;
import org.junit.jupiter.api.Test;

/**
 * Promises P6 (one answer for each request), P7 (a refusal as not run is true) and P8 (at
 * most one run if not repeatable) with runners that answer incorrectly, late or never.
 */
class RunnerFailureTests extends EntryTestBase {

	@Test
	void aTruncatedAnswerIsNeverRelayedAndMakesTheOutcomeUnknown() {
		TestEntry entry = startWithRunner();
		CompletableFuture<HttpResponse<String>> response = entry.submit(nonRepeatable("cut"), "charge");
		FakeRunner.Call call = runner().awaitCall();
		call.answer(200, call.attempt(), 100, "half an answer");
		call.closeConnection();
		Truth.assertThat(response.join().statusCode()).isEqualTo(502);
		Truth.assertThat(response.join().body()).contains("\"outcome\":\"UNKNOWN\"");
		Truth.assertThat(response.join().body()).doesNotContain("half");
	}

	@Test
	void anAnswerWithTheNumberOfAnotherAttemptIsNeverRelayed() {
		TestEntry entry = startWithRunner();
		CompletableFuture<HttpResponse<String>> one = entry.submit(nonRepeatable("swap-1"), "one");
		FakeRunner.Call firstCall = runner().awaitCall();
		CompletableFuture<HttpResponse<String>> two = entry.submit(nonRepeatable("swap-2"), "two");
		FakeRunner.Call secondCall = runner().awaitCall();
		firstCall.answer(200, secondCall.attempt(), 3, "two");
		secondCall.answer(200, firstCall.attempt(), 3, "one");
		Truth.assertThat(one.join().body()).contains("UPSTREAM_FAILED");
		Truth.assertThat(two.join().body()).contains("UPSTREAM_FAILED");
	}

	@Test
	void aSecondAnswerOnTheSameConnectionIsDiscarded() {
		TestEntry entry = startWithRunner();
		CompletableFuture<HttpResponse<String>> one = entry.submit(nonRepeatable("double-1"), "one");
		FakeRunner.Call firstCall = runner().awaitCall();
		firstCall.answer(200, firstCall.attempt(), 3, "oneHTTP/1.1 200 OK\r\nBurdock-Attempt: " + firstCall.attempt()
				+ "\r\nContent-Length: 6\r\n\r\ndouble");
		Truth.assertThat(one.join().body()).isEqualTo("one");
		CompletableFuture<HttpResponse<String>> two = entry.submit(nonRepeatable("double-2"), "two");
		runner().awaitCall().answer("two");
		Truth.assertThat(two.join().body()).isEqualTo("two");
	}

	@Test
	void anAnswerWithoutALengthIsNotTreatedAsComplete() {
		TestEntry entry = startWithRunner();
		CompletableFuture<HttpResponse<String>> response = entry.submit(nonRepeatable("open-end"), "charge");
		FakeRunner.Call call = runner().awaitCall();
		call.write("HTTP/1.1 200 OK\r\nBurdock-Attempt: " + call.attempt() + "\r\n\r\npart");
		call.closeConnection();
		Truth.assertThat(response.join().body()).contains("\"outcome\":\"UNKNOWN\"");
	}

	@Test
	void aRepeatableRequestIsRetriedAfterItsRunnerClosedTheConnection() {
		TestEntry entry = startWithRunner();
		CompletableFuture<HttpResponse<String>> response = entry.submit(REPEATABLE, "panel");
		runner().awaitCall().closeConnection();
		runner().awaitCall().answer("second try");
		Truth.assertThat(response.join().body()).isEqualTo("second try");
	}

	@Test
	void aRequestThatIsNotRepeatableIsNotRetriedAfterItsRunnerClosedTheConnection() {
		TestEntry entry = startWithRunner();
		CompletableFuture<HttpResponse<String>> response = entry.submit(nonRepeatable("dies"), "charge");
		runner().awaitCall().closeConnection();
		Truth.assertThat(response.join().body()).contains("\"outcome\":\"UNKNOWN\"");
		Truth.assertThat(runner().pendingCallCount()).isEqualTo(0);
	}

	@Test
	void aRefusalBeforeTheStartIsRetriedEvenIfTheRequestIsNotRepeatable() {
		TestEntry entry = startWithRunner();
		CompletableFuture<HttpResponse<String>> response = entry.submit(nonRepeatable("refused"), "charge");
		runner().awaitCall().refuseBeforeStart();
		runner().awaitCall().answer("charged");
		Truth.assertThat(response.join().body()).isEqualTo("charged");
	}

	@Test
	void aRequestWhoseRunnerIsSilentIsAnsweredAsUnknownAtItsDeadline() {
		TestEntry entry = startWithRunner();
		Map<String, String> headers = Map.of("Burdock-Key", "key-1", "Burdock-Request-Id", newRequestId("late"),
				"Burdock-Timeout-Ms", "300");
		CompletableFuture<HttpResponse<String>> response = entry.submit(headers, "charge");
		FakeRunner.Call call = runner().awaitCall();
		Truth.assertThat(response.join().statusCode()).isEqualTo(504);
		Truth.assertThat(response.join().body()).contains("\"outcome\":\"UNKNOWN\"");
		Truth.assertThat(Long.parseLong(call.headers().get("burdock-deadline-ms"))).isAtMost(300);
	}

	@Test
	void aRequestWithoutAnyRunnerIsAnsweredAsNotRunAndItsClaimIsReleased() {
		TestEntry entry = startSingle();
		Map<String, String> headers = Map.of("Burdock-Key", "key-1", "Burdock-Request-Id", newRequestId("none"),
				"Burdock-Timeout-Ms", "200");
		HttpResponse<String> response = entry.submit(headers, "charge").join();
		Truth.assertThat(response.body()).contains("\"outcome\":\"NOT_RUN\"");
		control().awaitProposal(ClaimCommand.ReleaseClaim.class);
	}

	@Test
	void aLeavingRunnerGetsNoNewRequest() {
		TestEntry entry = startWithRunner();
		entry.announce("runner-1", runner(), true);
		Map<String, String> headers = Map.of("Burdock-Key", "key-1", "Burdock-Repeatable", "true", "Burdock-Timeout-Ms",
				"200");
		Truth.assertThat(entry.submit(headers, "panel").join().body()).contains("\"outcome\":\"NOT_RUN\"");
		Truth.assertThat(runner().pendingCallCount()).isEqualTo(0);
	}

	private TestEntry startWithRunner() {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		return entry;
	}

}
