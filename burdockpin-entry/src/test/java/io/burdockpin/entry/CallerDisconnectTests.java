package io.burdockpin.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import io.burdockpin.core.state.ClaimCommand;
import io.burdockpin.entry.fake.FakeRunner;
import io.burdockpin.entry.fake.TestEntry;
import org.junit.jupiter.api.Test;

/**
 * Guards against processing requests of disconnected callers, which would take queue
 * places, tokens and slots from callers that are still connected.
 */
class CallerDisconnectTests extends EntryTestBase {

	private static final Duration MAX_WAIT = Duration.ofSeconds(15);

	@Override
	int tokenCount() {
		return 1;
	}

	@Test
	void aWaitingRequestWhoseCallerDisconnectsLeavesTheQueueAndNeverRuns() throws IOException {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> first = entry.submit(REPEATABLE, "first");
		FakeRunner.Call call = runner().awaitCall();
		try (Socket caller = entry.openConnection()) {
			write(caller, REPEATABLE, "gone");
			awaitQueueLength(entry, 1);
		}
		awaitQueueLength(entry, 0);
		CompletableFuture<HttpResponse<String>> third = entry.submit(REPEATABLE, "third");
		call.answer("one");
		FakeRunner.Call next = runner().awaitCall();
		Truth.assertThat(next.body()).isEqualTo("third");
		next.answer("three");
		Truth.assertThat(first.join().body()).isEqualTo("one");
		Truth.assertThat(third.join().body()).isEqualTo("three");
	}

	@Test
	void theClaimOfAWaitingRequestWhoseCallerDisconnectsIsReleased() throws IOException {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		entry.submit(REPEATABLE, "first");
		runner().awaitCall();
		try (Socket caller = entry.openConnection()) {
			write(caller, nonRepeatable("gone"), "charge");
			awaitQueueLength(entry, 1);
		}
		control().awaitProposal(ClaimCommand.ReleaseClaim.class);
		Truth.assertThat(runner().pendingCallCount()).isEqualTo(0);
	}

	@Test
	void aRequestThatRunsWhenItsCallerDisconnectsIsRecordedAsFinished() throws IOException {
		TestEntry entry = startSingle();
		entry.announce("runner-1", runner(), false);
		FakeRunner.Call call;
		try (Socket caller = entry.openConnection()) {
			write(caller, nonRepeatable("running"), "charge");
			call = runner().awaitCall();
		}
		call.answer("charged");
		Truth.assertThat(control().awaitProposal(ClaimCommand.FinishClaim.class).body().lengthBytes()).isEqualTo(7);
	}

	@Test
	void theTokenOfAWaitingRequestIsReleasedWhenItsCallerDisconnects() throws IOException {
		TestEntry entry = startSingle();
		try (Socket caller = entry.openConnection()) {
			write(caller, REPEATABLE, "gone");
			awaitInFlight(entry, 1);
		}
		awaitInFlight(entry, 0);
		entry.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> next = entry.submit(REPEATABLE, "next");
		FakeRunner.Call call = runner().awaitCall();
		Truth.assertThat(call.body()).isEqualTo("next");
		call.answer("one");
		Truth.assertThat(next.join().body()).isEqualTo("one");
	}

	private void awaitInFlight(TestEntry entry, int count) {
		probe().awaitAssert(MAX_WAIT, () -> {
			Truth.assertThat(entry.call("GET", "/health", Map.of(), "").body())
				.contains("\"requests\":\"" + count + "\"");
			return count;
		});
	}

	private static void write(Socket caller, Map<String, String> headers, String body) throws IOException {
		StringBuilder request = new StringBuilder("POST /v1/queues/quotes/requests HTTP/1.1\r\nHost: entry\r\n");
		headers.forEach((name, value) -> request.append(name).append(": ").append(value).append("\r\n"));
		request.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
		caller.getOutputStream().write(request.toString().getBytes(StandardCharsets.ISO_8859_1));
	}

}
