package io.burdockpin.batch.operator;

import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.runtime.http.socket.HttpServerResponse;

/**
 * Handles {@code POST /operator/v1/placement-explanations}. The body is a JSON object
 * with either {@code job}, the identifier of an accepted job, or {@code host},
 * {@code path}, optionally {@code key}, and {@code submission}, the document that a
 * caller would submit. Immutable.
 */
public final class PlacementRoutes {

	/** The path of the explanation. */
	public static final String PATH = "/operator/v1/placement-explanations";

	private final Function<FleetCall, CompletionStage<FleetReply>> leader;

	private final Function<byte[], JobSpec> jobReader;

	/**
	 * Creates the handler.
	 * @param leader sends a call to the leader
	 * @param jobReader reads the document of a submission; throws
	 * {@link InvalidValueException} if it is malformed
	 */
	public PlacementRoutes(Function<FleetCall, CompletionStage<FleetReply>> leader,
			Function<byte[], JobSpec> jobReader) {
		this.leader = leader;
		this.jobReader = jobReader;
	}

	/**
	 * Handles a request for an explanation.
	 * @param method the HTTP method in capitals
	 * @param body the complete body
	 * @return 200 with the explanation, 400 for a malformed body, 404 for an unknown job
	 * or another method, 503 without a leader, 504 without a response in time
	 */
	public CompletionStage<HttpServerResponse> handle(String method, byte[] body) {
		if (!method.equals("POST")) {
			return CompletableFuture.completedFuture(error(404, "NOT_FOUND", "no such path or method"));
		}
		try {
			return this.leader.apply(call(JsonResponses.MAPPER.readTree(body))).thenApply(PlacementRoutes::response);
		}
		catch (IOException ex) {
			return CompletableFuture.completedFuture(error(400, "INVALID", "the body is not JSON"));
		}
		catch (InvalidValueException ex) {
			return CompletableFuture.completedFuture(error(400, "INVALID", String.valueOf(ex.getMessage())));
		}
	}

	private FleetCall call(JsonNode body) throws JsonProcessingException {
		Optional<String> job = text(body, "job");
		Optional<JsonNode> submission = Optional.ofNullable(body.get("submission")).filter(JsonNode::isObject);
		if (job.isPresent() == submission.isPresent()) {
			throw new InvalidValueException("the body needs either job or submission, which is an object");
		}
		if (job.isPresent()) {
			return new FleetCall.ExplainPlacement(job, Optional.empty());
		}
		JobSpec spec = this.jobReader.apply(JsonResponses.MAPPER.writeValueAsBytes(submission.get()));
		return new FleetCall.ExplainPlacement(Optional.empty(), Optional
			.of(new FleetCall.Submit(required(body, "host"), required(body, "path"), text(body, "key"), spec)));
	}

	private static String required(JsonNode body, String name) {
		return text(body, name).orElseThrow(() -> new InvalidValueException("the body needs " + name));
	}

	private static Optional<String> text(JsonNode body, String name) {
		return Optional.ofNullable(body.get(name)).filter(JsonNode::isTextual).map(JsonNode::textValue);
	}

	private static HttpServerResponse response(FleetReply reply) {
		if (reply instanceof FleetReply.Placement placement) {
			return JsonResponses.of(200, placement.explanation());
		}
		if (reply instanceof FleetReply.Refused refused) {
			return switch (refused.reason()) {
				case NO_SUCH_JOB -> error(404, refused.reason().name(), "no such job is known");
				case NO_LEADER, NO_CONFIGURATION -> error(503, refused.reason().name(),
						"cannot be explained now: no leader was reached, or none has a configuration");
				default -> error(400, refused.reason().name(), "the call was refused");
			};
		}
		return error(504, "UNKNOWN", "no leader confirmed an explanation in time");
	}

	private static HttpServerResponse error(int status, String code, String message) {
		return JsonResponses.of(status, Map.of("error", code, "message", message));
	}

}
