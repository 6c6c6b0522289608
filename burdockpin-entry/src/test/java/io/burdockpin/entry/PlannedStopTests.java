package io.burdockpin.entry;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.entry.fake.FakeRunner;
import io.burdockpin.entry.fake.TestEntry;
import io.burdockpin.runtime.service.GuardianCommand;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.junit.jupiter.api.Test;

/** Guards P10: a planned stop cuts no request in flight and gives the tokens back. */
class PlannedStopTests extends EntryTestBase {

	@Test
	void aPlannedStopAnswersTheRequestInFlightAndGivesTheTokensBack() {
		TestEntry entry = startAlone();
		entry.announce("runner-1", runner(), false);
		CompletableFuture<HttpResponse<String>> response = entry.submit(REPEATABLE, "panel");
		FakeRunner.Call call = runner().awaitCall();
		TestProbe<Void> probe = probe();
		entry.guardian().tell(GuardianCommand.Stop.INSTANCE);
		Truth.assertThat(entry.call("GET", "/ready", Map.of(), "").statusCode()).isEqualTo(503);
		Truth.assertThat(response.isDone()).isFalse();
		call.answer("schedule");
		Truth.assertThat(response.join().body()).isEqualTo("schedule");
		probe.expectTerminated(entry.guardian(), Duration.ofSeconds(15));
		ClientMessage.TokenReport last = control().await(ClientMessage.TokenReport.class);
		while (last.usages().stream().anyMatch((usage) -> usage.heldCount() > 0 || usage.inUseCount() > 0)) {
			last = control().await(ClientMessage.TokenReport.class);
		}
		Truth.assertThat(runner().pendingCallCount()).isEqualTo(0);
	}

	@Test
	void aPlannedStopEndsTheRequestThatAnotherEntryHostForwarded() {
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

}
