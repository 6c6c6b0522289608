package io.burdockpin.entry;

import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.state.ClaimCommand;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.entry.fake.FakeRunner;
import io.burdockpin.entry.fake.TestEntry;
import org.junit.jupiter.api.Test;

/** Covers the path of a request, a job, an announcement and a key withdrawal. */
class RequestPathTests extends EntryTestBase {

	@Test
	void aRequestWithAKeyReachesAnAttachedRunnerAndItsAnswerComesBack() {
		TestEntry entry = startSingle();
		Truth.assertThat(entry.announce("runner-1", runner(), false).body()).contains("\"attached\":true");
		CompletableFuture<HttpResponse<String>> response = entry.submit(REPEATABLE, "panel 7");
		FakeRunner.Call call = runner().awaitCall();
		Truth.assertThat(call.body()).isEqualTo("panel 7");
		call.answer("schedule 7");
		Truth.assertThat(response.join().statusCode()).isEqualTo(200);
		Truth.assertThat(response.join().body()).isEqualTo("schedule 7");
	}

	@Test
	void aRequestIsForwardedToTheEntryHostThatHasTheRunner() {
		TestEntry receiving = startFirst();
		TestEntry attached = startSecond();
		attached.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> response = receiving.submit(REPEATABLE, "panel 8");
		runner().awaitCall().answer("schedule 8");
		Truth.assertThat(response.join().body()).isEqualTo("schedule 8");
	}

	@Test
	void aForwardedRequestIsAnsweredAsUnknownWhenTheOtherEntryHostFails() {
		TestEntry receiving = startFirst();
		TestEntry attached = startSecond();
		attached.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> response = receiving.submit(nonRepeatable("host-dies"), "charge");
		runner().awaitCall();
		kill(attached);
		Truth.assertThat(response.join().body()).contains("\"outcome\":\"UNKNOWN\"");
	}

	@Test
	void aJobIsProposedWithAnIdentifierDerivedFromItsRequestIdentifier() {
		TestEntry entry = startSingle();
		Map<String, String> headers = Map.of("Burdock-Key", "key-1", "Burdock-Request-Id", "1-job");
		String body = """
				{"pool":"night","cpuMillicores":1000,"memoryMebibytes":64,"runMillis":1000,"repeatable":true}""";
		String answer = entry.call("POST", "/v1/jobs", headers, body).body();
		JobCommand.SubmitJob submitted = control().awaitProposal(JobCommand.SubmitJob.class);
		Truth.assertThat(answer).isEqualTo("{\"job\":\"" + submitted.job() + "\"}");
		Truth.assertThat(submitted.spec().team()).isEqualTo(TEAM);
	}

	@Test
	void aWorkerAnnouncementReachesTheLeader() {
		TestEntry entry = startSingle();
		String body = "{\"worker\":\"worker-1\",\"bootId\":\"b\",\"sequence\":3,\"jobs\":[]}";
		Truth.assertThat(entry.call("POST", "/v1/workers/announce", Map.of(), body).statusCode()).isEqualTo(200);
		ClientMessage.WorkerReports reports = control().await(ClientMessage.WorkerReports.class);
		Truth.assertThat(reports.reports().get(0).sequence()).isEqualTo(3);
	}

	@Test
	void aWithdrawnKeyIsRefusedAsSoonAsTheWithdrawalIsAnswered() {
		TestEntry entry = startSingle();
		String body = "{\"type\":\"withdrawKey\",\"requestId\":\"w-1\",\"keyHash\":\"" + KeyHash.of("key-1").hex()
				+ "\"}";
		HttpResponse<String> answer = entry.call("POST", "/v1/operator", Map.of(), body);
		Truth.assertThat(answer.body()).contains("\"committed\":true");
		control().awaitProposal(ConfigurationCommand.WithdrawKey.class);
		HttpResponse<String> refused = entry.submit(REPEATABLE, "panel").join();
		Truth.assertThat(refused.statusCode()).isEqualTo(403);
		Truth.assertThat(refused.body()).contains("\"code\":\"KEY_WITHDRAWN\",\"outcome\":\"NOT_RUN\"");
	}

	@Test
	void aKeyWithdrawnAtOneEntryHostIsRefusedAtTheOtherBeforeTheReply() {
		TestEntry one = startFirst();
		TestEntry two = startSecond();
		one.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> forwarded = two.submit(REPEATABLE, "panel");
		runner().awaitCall().answer("linked");
		forwarded.join();
		String body = "{\"type\":\"withdrawKey\",\"requestId\":\"w-2\",\"keyHash\":\"" + KeyHash.of("key-1").hex()
				+ "\"}";
		HttpResponse<String> answer = two.call("POST", "/v1/operator", Map.of(), body);
		Truth.assertThat(answer.body()).contains("\"unconfirmed\":[]");
		Truth.assertThat(one.submit(REPEATABLE, "panel").join().body()).contains("KEY_WITHDRAWN");
	}

	@Test
	void aRequestThatIsNotRepeatableIsClaimedBeforeItRunsAndFinishedAfter() {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		String id = System.currentTimeMillis() / 1000 + "-once";
		CompletableFuture<HttpResponse<String>> response = entry
			.submit(Map.of("Burdock-Key", "key-1", "Burdock-Request-Id", id), "charge");
		FakeRunner.Call call = runner().awaitCall();
		Truth.assertThat(control().awaitProposal(ClaimCommand.ClaimRequest.class).requestId().value()).isEqualTo(id);
		call.answer("charged");
		Truth.assertThat(response.join().body()).isEqualTo("charged");
		Truth.assertThat(control().awaitProposal(ClaimCommand.FinishClaim.class).body().text()).isEqualTo("charged");
	}

	@Test
	void repeatableRequestsUseOneConnectionToTheRunnerOneAfterTheOther() {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		for (int count = 0; count < 5; count++) {
			CompletableFuture<HttpResponse<String>> response = entry.submit(REPEATABLE, "panel");
			runner().awaitCall().answer("schedule");
			Truth.assertThat(response.join().body()).isEqualTo("schedule");
		}
		Truth.assertThat(runner().connectionCount()).isEqualTo(1);
	}

	/**
	 * Guards against an unknown outcome of a request that is not repeatable: the runner
	 * may close an idle connection just as the request is sent on it.
	 */
	@Test
	void onlyForwardedRequestsThatAreRepeatableShareAConnectionToTheRunner() {
		TestEntry one = startFirst();
		TestEntry two = startSecond();
		one.announce("runner-1", runner(), false);
		for (int count = 0; count < 3; count++) {
			CompletableFuture<HttpResponse<String>> response = two.submit(REPEATABLE, "panel");
			runner().awaitCall().answer("schedule");
			Truth.assertThat(response.join().body()).isEqualTo("schedule");
		}
		Truth.assertThat(runner().connectionCount()).isEqualTo(1);
		CompletableFuture<HttpResponse<String>> charge = two.submit(nonRepeatable("charge"), "charge");
		runner().awaitCall().answer("charged");
		Truth.assertThat(charge.join().body()).isEqualTo("charged");
		Truth.assertThat(runner().connectionCount()).isEqualTo(2);
	}

	@Test
	void aRepeatableRequestIsAnsweredAfterTheRunnerClosedItsIdleConnection() {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> first = entry.submit(REPEATABLE, "panel");
		FakeRunner.Call call = runner().awaitCall();
		call.answer("one");
		first.join();
		call.closeConnection();
		CompletableFuture<HttpResponse<String>> second = entry.submit(REPEATABLE, "panel");
		runner().awaitCall().answer("two");
		Truth.assertThat(second.join().body()).isEqualTo("two");
		Truth.assertThat(runner().connectionCount()).isEqualTo(2);
	}

	@Test
	void theIdleConnectionsOfALeavingRunnerAreClosed() {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> response = entry.submit(REPEATABLE, "panel");
		runner().awaitCall().answer("schedule");
		response.join();
		entry.announce("runner-1", runner(), true);
		runner().awaitConnectionClosed();
	}

}
