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
 * Promise P8: a request that is not repeatable runs at most once, also when its caller
 * sends it again.
 */
class ResendTests extends EntryTestBase {

	@Test
	void aResendAtAnotherEntryHostGetsTheKeptAnswer() {
		TestEntry one = startFirst();
		TestEntry two = startSecond();
		one.announce("runner-1", runner(), false);
		Map<String, String> headers = nonRepeatable("resend");
		CompletableFuture<HttpResponse<String>> response = one.submit(headers, "charge");
		runner().awaitCall().answer("charged");
		response.join();
		control().awaitProposal(ClaimCommand.FinishClaim.class);
		HttpResponse<String> resent = two.submit(headers, "charge").join();
		Truth.assertThat(resent.statusCode()).isEqualTo(200);
		Truth.assertThat(resent.body()).isEqualTo("charged");
		Truth.assertThat(runner().pendingCallCount()).isEqualTo(0);
	}

	@Test
	void aResendAtAnotherEntryHostWhileItRunsIsAnsweredAsUnknown() {
		TestEntry one = startFirst();
		TestEntry two = startSecond();
		one.announce("runner-1", runner(), false);
		Map<String, String> headers = nonRepeatable("running");
		CompletableFuture<HttpResponse<String>> response = one.submit(headers, "charge");
		FakeRunner.Call call = runner().awaitCall();
		HttpResponse<String> resent = two.submit(headers, "charge").join();
		Truth.assertThat(resent.statusCode()).isEqualTo(409);
		Truth.assertThat(resent.body()).contains("\"code\":\"ALREADY_CLAIMED\",\"outcome\":\"UNKNOWN\"");
		call.answer("charged");
		Truth.assertThat(response.join().body()).isEqualTo("charged");
	}

	@Test
	void aResendAtTheEntryHostThatRunsItGetsTheSameAnswer() {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		Map<String, String> headers = nonRepeatable("same");
		CompletableFuture<HttpResponse<String>> response = entry.submit(headers, "charge");
		FakeRunner.Call call = runner().awaitCall();
		CompletableFuture<HttpResponse<String>> resent = entry.submit(headers, "charge");
		entry.call("GET", "/health", Map.of(), "");
		call.answer("charged");
		Truth.assertThat(response.join().body()).isEqualTo("charged");
		Truth.assertThat(resent.join().body()).isEqualTo("charged");
		Truth.assertThat(runner().pendingCallCount()).isEqualTo(0);
	}

	@Test
	void aClaimWhoseResultIsLostIsSentAgainAndTheRequestRunsOnce() {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		control().dropClaimReplies(2);
		CompletableFuture<HttpResponse<String>> response = entry.submit(nonRepeatable("lost"), "charge");
		runner().awaitCall().answer("charged");
		Truth.assertThat(response.join().body()).isEqualTo("charged");
		Truth.assertThat(runner().pendingCallCount()).isEqualTo(0);
	}

	@Test
	void anAnswerThatIsTooLargeToStoreIsReportedAsRan() {
		TestEntry one = startFirst();
		TestEntry two = startSecond();
		one.announce("runner-1", runner(), false);
		Map<String, String> headers = nonRepeatable("large");
		CompletableFuture<HttpResponse<String>> response = one.submit(headers, "charge");
		runner().awaitCall().answer("x".repeat(4097));
		Truth.assertThat(response.join().body()).hasLength(4097);
		Truth.assertThat(control().awaitProposal(ClaimCommand.FinishClaim.class).bodyKept()).isFalse();
		HttpResponse<String> resent = two.submit(headers, "charge").join();
		Truth.assertThat(resent.body()).contains("\"code\":\"ALREADY_RAN\",\"outcome\":\"RAN\"");
	}

}
