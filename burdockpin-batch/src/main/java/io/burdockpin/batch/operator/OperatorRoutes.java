package io.burdockpin.batch.operator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.burdockpin.batch.call.LeaderCalls;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.runtime.http.socket.HttpServerRequest;
import io.burdockpin.runtime.http.socket.HttpServerResponse;

/**
 * Handles the requests of operators: shows, closes and opens data centres, and explains
 * placements. Bodies are JSON. Immutable.
 */
public final class OperatorRoutes {

	private static final String PREFIX = "/operator/v1/";

	private static final String DATA_CENTRES = PREFIX + "data-centres";

	private static final String CLOSING = "/closing";

	/** As long as the control interface waits for an order. */
	private static final long TIMEOUT_MILLIS = 900;

	private final LeaderCalls leader;

	private final PlacementRoutes placements;

	private final String origin;

	/**
	 * Creates the routes.
	 * @param leader sends calls to the leader
	 * @param placements explains placements
	 * @param origin recorded with the orders that this process receives
	 */
	public OperatorRoutes(LeaderCalls leader, PlacementRoutes placements, String origin) {
		this.leader = leader;
		this.placements = placements;
		this.origin = origin;
	}

	/**
	 * Tells whether a request is one of an operator.
	 * @param request any request
	 * @return whether {@link #handle} answers it
	 */
	public static boolean accepts(HttpServerRequest request) {
		return request.path().startsWith(PREFIX);
	}

	/**
	 * Handles a request.
	 * @param request a request that {@link #accepts} accepts
	 * @return the response: 200, 400 for a body where none belongs, 404 for an unknown
	 * path or data centre, 503 without a leader, or 504 if the outcome is unknown
	 */
	public CompletionStage<HttpServerResponse> handle(HttpServerRequest request) {
		String path = request.path();
		if (path.equals(PlacementRoutes.PATH)) {
			return this.placements.handle(request.method(), request.body());
		}
		if (path.equals(DATA_CENTRES) && request.method().equals("GET")) {
			return ask(request, new FleetCall.LookAtDataCentres());
		}
		if (path.startsWith(DATA_CENTRES + "/") && path.endsWith(CLOSING)
				&& path.length() > DATA_CENTRES.length() + CLOSING.length() + 1) {
			String name = path.substring(DATA_CENTRES.length() + 1, path.length() - CLOSING.length());
			switch (request.method()) {
				case "PUT" -> {
					return ask(request, new FleetCall.CloseDataCentre(name, this.origin));
				}
				case "DELETE" -> {
					return ask(request, new FleetCall.OpenDataCentre(name, this.origin));
				}
				default -> {
					// Other methods are not found.
				}
			}
		}
		return CompletableFuture.completedFuture(error(404, "no such path or method"));
	}

	private CompletionStage<HttpServerResponse> ask(HttpServerRequest request, FleetCall call) {
		if (request.body().length > 0) {
			return CompletableFuture.completedFuture(error(400, "the request must not have a body"));
		}
		return this.leader.ask(call, TIMEOUT_MILLIS).thenApply(OperatorRoutes::response);
	}

	private static HttpServerResponse response(FleetReply reply) {
		if (reply instanceof FleetReply.Accepted) {
			return JsonResponses.of(200, Map.of());
		}
		if (reply instanceof FleetReply.DataCentres known) {
			return JsonResponses.of(200, Map.of("dataCentres", documents(known)));
		}
		if (reply instanceof FleetReply.Refused refused) {
			int status = (refused.reason() == FleetReply.Reason.NO_SUCH_DATA_CENTRE) ? 404 : 503;
			HttpServerResponse response = error(status, refused.reason().name());
			return refused.retryAfterMillis().map(response::withRetryAfterMillis).orElse(response);
		}
		return error(504, "no answer in time; the call may have taken effect");
	}

	private static List<Map<String, Object>> documents(FleetReply.DataCentres known) {
		List<Map<String, Object>> documents = new ArrayList<>();
		for (FleetReply.DataCentreStatus status : known.dataCentres()) {
			Map<String, Object> document = new LinkedHashMap<>();
			document.put("name", status.name());
			document.put("closed", status.closing().isPresent());
			status.closing().ifPresent((closing) -> {
				document.put("sinceMillis", closing.sinceMillis());
				document.put("origin", closing.origin());
			});
			document.put("runners", status.runners());
			document.put("tasks", status.tasks());
			documents.add(document);
		}
		return documents;
	}

	private static HttpServerResponse error(int status, String text) {
		return JsonResponses.of(status, Map.of("error", text));
	}

}
