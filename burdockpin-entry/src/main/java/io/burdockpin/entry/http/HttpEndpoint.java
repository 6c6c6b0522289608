package io.burdockpin.entry.http;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/** Answers the HTTP requests of some paths. Implementations are immutable. */
interface HttpEndpoint {

	/**
	 * Answers a request.
	 * @param request the request
	 * @param segments the parts of its path
	 * @return the response, if the path belongs to this endpoint
	 */
	Optional<CompletionStage<HttpResponse>> handle(HttpRequest request, List<String> segments);

}
