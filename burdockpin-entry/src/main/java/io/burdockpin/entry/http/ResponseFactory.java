package io.burdockpin.entry.http;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletionException;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.retry.FinalResponse;
import io.burdockpin.core.retry.RunnerResponse;
import io.burdockpin.entry.router.ContentTypeParser;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;

/** Creates HTTP responses from answers, errors and documents. Immutable. */
final class ResponseFactory {

	private final JsonBodyMapper json;

	ResponseFactory(JsonBodyMapper json) {
		this.json = json;
	}

	HttpResponse fromAnswer(FinalResponse answer) {
		if (answer instanceof FinalResponse.Relayed relayed) {
			return relayed(relayed.response());
		}
		FinalResponse.Refused refused = (FinalResponse.Refused) answer;
		return error(refused.code(), refused.outcome(), refused.message());
	}

	HttpResponse error(ErrorCode code, Outcome outcome, String message) {
		Map<String, String> document = new LinkedHashMap<>();
		document.put("code", code.name());
		document.put("outcome", outcome.name());
		document.put("message", message);
		return json(ErrorStatus.of(code), document);
	}

	HttpResponse error(ErrorCode code, String message) {
		return error(code, code.outcome(), message);
	}

	HttpResponse error(Throwable failure) {
		Throwable cause = (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
				: failure;
		if (cause instanceof BurdockException burdock) {
			return error(burdock.getCode(), String.valueOf(burdock.getMessage()));
		}
		return error(ErrorCode.INTERNAL, cause.getClass().getSimpleName());
	}

	HttpResponse json(int status, Object document) {
		return bytes(status, ContentTypes.APPLICATION_JSON, this.json.write(document));
	}

	HttpResponse bytes(int status, ContentType type, byte[] body) {
		return HttpResponse.create().withStatus(status).withEntity(HttpEntities.create(type, body));
	}

	private HttpResponse relayed(RunnerResponse answer) {
		HttpResponse response = HttpResponse.create()
			.withStatus(StatusCodes.lookup(answer.status())
				.orElseGet(() -> StatusCodes.custom(answer.status(), "Upstream status", "")));
		return answer.contentType().isEmpty() ? response : response
			.withEntity(HttpEntities.create(ContentTypeParser.parse(answer.contentType()), answer.body().bytes()));
	}

}
