package io.burdockpin.batch.operator;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.core.batch.lead.place.PlacementExplanation;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.model.Resources;
import io.burdockpin.runtime.http.socket.HttpServerResponse;
import org.junit.jupiter.api.Test;

class PlacementRoutesTests {

	private static final JobSpec SPEC = new JobSpec("",
			List.of(new StepSpec(1, Resources.NONE, 500, List.of(), false, false, false, Optional.empty(),
					Optional.empty(), OptionalInt.empty(), false, false, Optional.empty(), OptionalInt.empty(), false,
					0)),
			0, 0, 0);

	private final List<FleetCall> calls = new ArrayList<>();

	private FleetReply reply = new FleetReply.Placement(
			PlacementExplanation.refused("/q/j", "KEY_REFUSED", Optional.of(1_000)).from(7, 5, "10.0.0.1"));

	private final PlacementRoutes routes = new PlacementRoutes((call) -> {
		this.calls.add(call);
		return CompletableFuture.completedFuture(this.reply);
	}, (document) -> {
		if (new String(document, StandardCharsets.UTF_8).contains("bad")) {
			throw new InvalidValueException("steps are missing");
		}
		return SPEC;
	});

	@Test
	void anAcceptedJobAndASubmissionAreSentToTheLeader() {
		Truth.assertThat(post("{\"job\":\"j1\"}").status()).isEqualTo(200);
		HttpServerResponse response = post("{\"host\":\"h\",\"path\":\"/q/j\",\"key\":\"k\",\"submission\":{}}");
		Truth.assertThat(this.calls)
			.containsExactly(new FleetCall.ExplainPlacement(Optional.of("j1"), Optional.empty()),
					new FleetCall.ExplainPlacement(Optional.empty(),
							Optional.of(new FleetCall.Submit("h", "/q/j", Optional.of("k"), SPEC))));
		String text = new String(response.body(), StandardCharsets.UTF_8);
		Truth.assertThat(text).contains("\"refusal\":\"KEY_REFUSED\"");
		Truth.assertThat(text).contains("\"retryAfterMillis\":1000");
		Truth.assertThat(text).contains("\"stateIndex\":7");
		Truth.assertThat(text).contains("\"responder\":\"10.0.0.1\"");
	}

	/** Guards against a malformed body that reaches the leader. */
	@Test
	void aMalformedBodyIsRejectedWithItsReason() {
		for (String body : List.of("", "x", "{}", "{\"job\":1}", "{\"job\":\"j\",\"submission\":{}}",
				"{\"submission\":{}}", "{\"host\":\"h\",\"path\":\"/q/j\",\"submission\":{\"bad\":1}}")) {
			Truth.assertWithMessage(body).that(post(body).status()).isEqualTo(400);
		}
		Truth.assertThat(this.calls).isEmpty();
	}

	@Test
	void withoutALeaderTheResponseSaysThatItCannotKnow() {
		this.reply = new FleetReply.Refused(FleetReply.Reason.NO_LEADER, Optional.of(500));
		Truth.assertThat(post("{\"job\":\"j1\"}").status()).isEqualTo(503);
		this.reply = new FleetReply.Unknown();
		Truth.assertThat(post("{\"job\":\"j1\"}").status()).isEqualTo(504);
		this.reply = new FleetReply.Refused(FleetReply.Reason.NO_SUCH_JOB, Optional.empty());
		Truth.assertThat(post("{\"job\":\"j1\"}").status()).isEqualTo(404);
	}

	private HttpServerResponse post(String body) {
		return this.routes.handle("POST", body.getBytes(StandardCharsets.UTF_8)).toCompletableFuture().join();
	}

}
