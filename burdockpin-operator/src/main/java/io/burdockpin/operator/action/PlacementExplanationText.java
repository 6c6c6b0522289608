package io.burdockpin.operator.action;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import io.burdockpin.core.batch.lead.place.Exclusion;
import io.burdockpin.core.batch.lead.place.PlacementLimit;
import io.burdockpin.core.batch.lead.place.PlacementReason;

/** Writes the explanation of a placement in sentences. */
final class PlacementExplanationText {

	private PlacementExplanationText() {
	}

	static List<String> of(JsonNode explanation) {
		List<String> lines = new ArrayList<>();
		boolean accepted = explanation.path("accepted").asBoolean();
		lines.add("job %s: %s".formatted(explanation.path("job").asText(),
				accepted ? "accepted, " + explanation.path("phase").asText() : "not accepted; as if submitted now"));
		if (explanation.hasNonNull("refusal")) {
			lines.add("  would be refused: " + explanation.path("refusal").asText()
					+ (explanation.hasNonNull("retryAfterMillis")
							? ", retry after %d ms".formatted(explanation.path("retryAfterMillis").asLong()) : ""));
		}
		else {
			JsonNode queue = explanation.path("queue");
			lines.add("  queue %s%s, pool %s, priority %d, workspace %s".formatted(queue.path("host").asText(),
					queue.path("pathPrefix").asText(), explanation.path("pool").asText(),
					explanation.path("priority").asInt(), explanation.path("workspace").asText().isEmpty()
							? "none (no key)" : explanation.path("workspace").asText()));
		}
		explanation.path("steps").forEach((step) -> addStep(lines, step));
		lines.add("  state of log index %d, applied %d ms before; explained by %s".formatted(
				explanation.path("stateIndex").asLong(), explanation.path("stateAgeMillis").asLong(),
				explanation.path("responder").asText()));
		return lines;
	}

	private static void addStep(List<String> lines, JsonNode step) {
		lines.add("  step %d of occurrence %d: %s".formatted(step.path("step").asInt(), step.path("occurrence").asInt(),
				step.path("state").asText()));
		if (step.hasNonNull("position")) {
			lines.add("    position %d among the waiting steps of the pool".formatted(step.path("position").asInt()));
		}
		else if (step.path("state").asText().equals("WAITING")) {
			lines.add("    has no turn in the next round: the pool has no usable runner, or the round is full");
		}
		if (step.hasNonNull("limit")) {
			lines.add("    waits: " + PlacementLimit.valueOf(step.path("limit").asText()).text());
		}
		if (step.hasNonNull("decision")) {
			lines.add("    " + PlacementReason.valueOf(step.path("decision").asText()).text()
					+ ((step.path("waitMillis").asLong() > 0)
							? ", for at most %d ms".formatted(step.path("waitMillis").asLong()) : ""));
		}
		step.path("places")
			.forEach((place) -> lines.add("    task %d: on runner %s, rack %s".formatted(place.path("task").asInt(),
					place.path("runner").asText(), place.path("rack").asText())));
		step.path("candidates")
			.forEach((runner) -> lines.add("    runner %s, rack %s, %d millicores free: %s".formatted(
					runner.path("runner").asText(), runner.path("rack").asText(), runner.path("freeMillicores").asInt(),
					runner.hasNonNull("exclusion") ? Exclusion.valueOf(runner.path("exclusion").asText()).text()
							: "can take a task")));
	}

}
