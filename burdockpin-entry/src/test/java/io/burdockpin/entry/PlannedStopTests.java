package io.burdockpin.entry;

import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.entry.cfg.LimitSettings;
import io.burdockpin.entry.fake.FakeRunner;
import io.burdockpin.entry.fake.TestEntry;
import io.burdockpin.runtime.service.GuardianCommand;
import org.apache.pekko.Done;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.junit.jupiter.api.Test;

/**
 * Promise P10: a planned stop lets requests in flight finish and returns the tokens of
 * the entry host.
 */
class PlannedStopTests extends EntryTestBase {

	private static final Duration MAX_WAIT = Duration.ofSeconds(15);

	/** Larger than the socket buffers of the operating system. */
	private static final int LARGE_ANSWER_BYTES = 3 * 1024 * 1024;

	/** Longer than the time that idle connections have to close. */
	private static final long PAUSE_MILLIS = 3_000;

	@Test
	void aPlannedStopAnswersTheRequestInFlightAndReturnsTheTokens() {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> response = entry.submit(REPEATABLE, "panel");
		FakeRunner.Call call = runner().awaitCall();
		// With a grace of 1 ms the listener may close before the client can connect
		// again, so this leaves it an open connection.
		Truth.assertThat(entry.call("GET", "/ready", Map.of(), "").statusCode()).isEqualTo(200);
		TestProbe<Void> probe = probe();
		entry.guardian().tell(GuardianCommand.Stop.INSTANCE);
		probe.awaitAssert(MAX_WAIT, () -> {
			Truth.assertThat(entry.call("GET", "/ready", Map.of(), "").statusCode()).isEqualTo(503);
			return Done.getInstance();
		});
		Truth.assertThat(response.isDone()).isFalse();
		call.answer("schedule");
		Truth.assertThat(response.join().body()).isEqualTo("schedule");
		probe.expectTerminated(entry.guardian(), MAX_WAIT);
		ClientMessage.TokenReport last = control().await(ClientMessage.TokenReport.class);
		while (last.usages().stream().anyMatch((usage) -> usage.heldCount() > 0 || usage.inUseCount() > 0)) {
			last = control().await(ClientMessage.TokenReport.class);
		}
		Truth.assertThat(runner().pendingCallCount()).isEqualTo(0);
	}

	@Test
	void aPlannedStopLetsForwardedRequestsFinish() {
		TestEntry one = startFirst();
		TestEntry two = startSecond();
		Truth.assertThat(two.call("GET", "/ready", Map.of(), "").statusCode()).isEqualTo(200);
		one.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> held = one.submit(REPEATABLE, "panel");
		FakeRunner.Call call = runner().awaitCall();
		CompletableFuture<HttpResponse<String>> forwarded = two.submit(REPEATABLE, "panel");
		FakeRunner.Call secondCall = runner().awaitCall();
		one.guardian().tell(GuardianCommand.Stop.INSTANCE);
		call.answer("first");
		secondCall.answer("second");
		Truth.assertThat(held.join().body()).isEqualTo("first");
		Truth.assertThat(forwarded.join().body()).isEqualTo("second");
	}

	/** Guards against a truncated answer when the caller reads it slowly. */
	@Test
	void aPlannedStopWaitsForACallerThatReadsItsAnswerSlowly() throws Exception {
		TestEntry entry = startSingle(new LimitSettings(null, LARGE_ANSWER_BYTES, null, null, null, null));
		entry.announce("runner-1", runner(), false);
		try (Socket caller = entry.openConnection()) {
			caller.getOutputStream().write("""
					POST /v1/queues/quotes/requests HTTP/1.1\r
					Host: entry\r
					Burdock-Key: key-1\r
					Burdock-Repeatable: true\r
					Content-Length: 0\r
					\r
					""".getBytes(StandardCharsets.ISO_8859_1));
			FakeRunner.Call call = runner().awaitCall();
			entry.guardian().tell(GuardianCommand.Stop.INSTANCE);
			call.answer("x".repeat(LARGE_ANSWER_BYTES));
			Thread.sleep(PAUSE_MILLIS);
			String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			Truth.assertThat(answer.chars().filter((letter) -> letter == 'x').count()).isAtLeast(LARGE_ANSWER_BYTES);
		}
	}

}
