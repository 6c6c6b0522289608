package io.burdockpin.entry.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Handles the HTTP requests of certain paths and methods. Implementations are immutable.
 */
interface HttpEndpoint {

	/**
	 * Handles a request if this endpoint serves its path and method.
	 * @param request the request
	 * @param segments the segments of its path
	 * @return the response, or empty if another endpoint may serve the request
	 */
	Optional<CompletionStage<HttpResponse>> handle(HttpRequest request, List<String> segments);

}
