package io.burdockpin.entry;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import io.burdockpin.entry.fake.FakeRunner;
import io.burdockpin.entry.fake.TestEntry;
import org.junit.jupiter.api.Test;

/** Guards against metrics that are declared but never updated. */
class EntryMetricTests extends EntryTestBase {

	private static final Duration MAX_WAIT = Duration.ofSeconds(15);

	@Test
	void runnersAreCountedByQueueAndState() {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		awaitMetric(entry, "burdock_runners{queue=\"quotes\",state=\"in_service\"} 1.0");
		entry.announce("runner-1", runner(), true);
		awaitMetric(entry, "burdock_runners{queue=\"quotes\",state=\"leaving\"} 1.0");
		Truth.assertThat(metrics(entry)).doesNotContain("state=\"in_service\"");
	}

	@Test
	void tokensInUseGoUpWithAnAttemptAndDownAfterIt() {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		awaitMetric(entry, "burdock_tokens{kind=\"owned\",team=\"specifiers\"} 10.0");
		CompletableFuture<HttpResponse<String>> response = entry.submit(REPEATABLE, "panel");
		FakeRunner.Call call = runner().awaitCall();
		awaitMetric(entry, "burdock_tokens{kind=\"in_use\",team=\"specifiers\"} 1.0");
		call.answer("schedule");
		response.join();
		awaitMetric(entry, "burdock_tokens{kind=\"in_use\",team=\"specifiers\"} 0.0");
	}

	@Test
	void attemptsAreCountedByOutcome() {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> response = entry.submit(REPEATABLE, "panel");
		runner().awaitCall().refuseBeforeStart();
		runner().awaitCall().closeConnection();
		runner().awaitCall().answer("schedule");
		response.join();
		awaitMetric(entry, "burdock_attempts_total{outcome=\"NOT_RUN\",queue=\"quotes\"} 1.0");
		awaitMetric(entry, "burdock_attempts_total{outcome=\"UNKNOWN\",queue=\"quotes\"} 1.0");
		awaitMetric(entry, "burdock_attempts_total{outcome=\"RAN\",queue=\"quotes\"} 1.0");
	}

	@Test
	void anAnswerToAnotherAttemptIsCountedAsLate() {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> response = entry.submit(nonRepeatable("late"), "charge");
		runner().awaitCall().answer(200, "0", 3, "one");
		Truth.assertThat(response.join().body()).contains("\"outcome\":\"UNKNOWN\"");
		awaitMetric(entry, "burdock_late_answers_total 1.0");
	}

	private void awaitMetric(TestEntry entry, String line) {
		probe().awaitAssert(MAX_WAIT, () -> {
			Truth.assertThat(metrics(entry)).contains(line);
			return line;
		});
	}

	private static String metrics(TestEntry entry) {
		return entry.call("GET", "/metrics", Map.of(), "").body();
	}

}
