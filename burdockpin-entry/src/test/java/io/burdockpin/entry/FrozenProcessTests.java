package io.burdockpin.entry;

import java.net.http.HttpResponse;
import java.time.Instant;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.truth.Truth;
import io.burdockpin.entry.fake.FakeRunner;
import io.burdockpin.entry.fake.TestEntry;
import org.junit.jupiter.api.Test;

/**
 * Guards against an entry host that was suspended and then ignores the time that has
 * passed.
 */
class FrozenProcessTests extends EntryTestBase {

	private static final Map<String, String> REPEATABLE = Map.of("Burdock-Key", "key-1", "Burdock-Repeatable", "true");

	private static final long FREEZE_MILLIS = 31_000;

	/** Runner clocks have an arbitrary origin. */
	private static final long RUNNER_CLOCK_MILLIS = 7_000;

	private static final long TIMEOUT_MILLIS = 30_000;

	/** Allowance for clock rates that differ by 0.1 percent. */
	private static final long RATE_MARGIN_MILLIS = TIMEOUT_MILLIS / 1000;

	private final AtomicLong frozenMillis = new AtomicLong();

	@Test
	void aLateAnswerIsUnknownAndAWaitingRequestIsNotStartedAfterItsDeadline() {
		TestEntry entry = startSingle(() -> Instant.now().plusMillis(this.frozenMillis.get()));
		entry.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> first = entry.submit(nonRepeatable("first"), "first");
		FakeRunner.Call call = runner().awaitCall();
		CompletableFuture<HttpResponse<String>> second = entry.submit(nonRepeatable("second"), "second");
		runner().awaitCall();
		CompletableFuture<HttpResponse<String>> waiting = entry.submit(REPEATABLE, "waiting");
		// Requests on separate connections may arrive in any order, so the freeze must
		// not start before this one is queued.
		awaitQueueLength(entry, 1);
		this.frozenMillis.set(FREEZE_MILLIS);
		call.answer("late");
		Truth.assertThat(first.join().body()).contains("\"outcome\":\"UNKNOWN\"");
		Truth.assertThat(waiting.join().body()).contains("\"outcome\":\"NOT_RUN\"");
		Truth.assertThat(runner().pendingCallCount()).isEqualTo(0);
		Truth.assertThat(second.isDone()).isFalse();
	}

	/**
	 * Guards against a resumed host that still accepts keys by its configuration from
	 * before the freeze.
	 */
	@Test
	void aKeyThatWasWithdrawnDuringTheFreezeIsRefusedFromTheFirstRequestOn() {
		TestEntry entry = startSingle(() -> Instant.now().plusMillis(this.frozenMillis.get()));
		entry.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> before = entry.submit(REPEATABLE, "before");
		runner().awaitCall().answer("done");
		Truth.assertThat(before.join().statusCode()).isEqualTo(200);
		control().changeConfiguration(configuration(6, true));
		this.frozenMillis.set(FREEZE_MILLIS);
		entry.announce("runner-1", runner(), false);
		Truth.assertThat(entry.submit(REPEATABLE, "after").join().body()).contains("KEY_WITHDRAWN");
		Truth.assertThat(runner().pendingCallCount()).isEqualTo(0);
	}

	/**
	 * Guards against an attempt that is sent only after a freeze and then runs past its
	 * deadline: the runner must be able to check the deadline by its own clock.
	 */
	@Test
	void anAttemptCarriesItsDeadlineByTheClockOfTheRunner() {
		Instant now = Instant.now();
		TestEntry entry = startSingle(() -> now);
		entry.announce("runner-1", runner(), false, RUNNER_CLOCK_MILLIS);
		entry.submit(nonRepeatable("first"), "first");
		long deadlineMillis = Long.parseLong(runner().awaitCall().headers().get("burdock-runner-deadline-ms"));
		Truth.assertThat(deadlineMillis).isEqualTo(RUNNER_CLOCK_MILLIS + TIMEOUT_MILLIS - RATE_MARGIN_MILLIS);
	}

}
