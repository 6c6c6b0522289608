package io.burdockpin.entry;

import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import io.burdockpin.entry.fake.FakeRunner;
import io.burdockpin.entry.fake.TestEntry;
import org.junit.jupiter.api.Test;

/** Promise P5: a team never has more running attempts than tokens. */
class TeamLimitTests extends EntryTestBase {

	@Override
	int tokenCount() {
		return 1;
	}

	@Test
	void aTeamAtItsLimitWaitsForItsOwnTokenAlthoughASlotIsFree() {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> first = entry.submit(REPEATABLE, "first");
		FakeRunner.Call call = runner().awaitCall();
		CompletableFuture<HttpResponse<String>> second = entry.submit(REPEATABLE, "second");
		entry.call("GET", "/health", Map.of(), "");
		Truth.assertThat(runner().pendingCallCount()).isEqualTo(0);
		call.answer("one");
		runner().awaitCall().answer("two");
		Truth.assertThat(first.join().body()).isEqualTo("one");
		Truth.assertThat(second.join().body()).isEqualTo("two");
	}

	@Test
	void aTeamThatStaysAtItsLimitIsRefusedAtTheDeadlineWithTheReason() {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		entry.submit(REPEATABLE, "first");
		runner().awaitCall();
		Map<String, String> headers = Map.of("Burdock-Key", "key-1", "Burdock-Repeatable", "true", "Burdock-Timeout-Ms",
				"300");
		HttpResponse<String> refused = entry.submit(headers, "second").join();
		Truth.assertThat(refused.statusCode()).isEqualTo(429);
		Truth.assertThat(refused.body()).contains("\"code\":\"TEAM_LIMIT_REACHED\",\"outcome\":\"NOT_RUN\"");
	}

	@Test
	void theTokenOfAnAttemptWithUnknownOutcomeStaysInUse() {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> lost = entry.submit(nonRepeatable("lost"), "charge");
		runner().awaitCall().closeConnection();
		Truth.assertThat(lost.join().body()).contains("\"outcome\":\"UNKNOWN\"");
		Map<String, String> headers = Map.of("Burdock-Key", "key-1", "Burdock-Repeatable", "true", "Burdock-Timeout-Ms",
				"300");
		HttpResponse<String> refused = entry.submit(headers, "second").join();
		Truth.assertThat(refused.body()).contains("TEAM_LIMIT_REACHED");
		Truth.assertThat(runner().pendingCallCount()).isEqualTo(0);
	}

}
