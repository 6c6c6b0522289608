package io.burdockpin.entry.router;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;

import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/**
 * The HTTP request of one attempt on a runner. Immutable.
 *
 * @param attempt number of the attempt
 * @param queue queue of the request
 * @param requestId identifier of the request
 * @param contentType content type of the body
 * @param body the body
 * @param remainingMillis time until the deadline, at least 1
 * @param runnerDeadlineMillis the deadline by the clock of the runner; empty if the
 * runner announced no clock
 */
record RunnerCall(long attempt, QueueName queue, RequestId requestId, String contentType, Payload body,
		long remainingMillis, OptionalLong runnerDeadlineMillis) {

	private static final HttpRequest RUN = HttpRequest.POST("/run");

	RunnerCall {
		remainingMillis = Math.max(1, remainingMillis);
	}

	HttpRequest request() {
		return RUN.withHeaders(headers()).withEntity(HttpEntities.create(parsedContentType(), this.body.bytes()));
	}

	private List<HttpHeader> headers() {
		List<HttpHeader> headers = new ArrayList<>();
		headers.add(header(BurdockHeader.ATTEMPT, this.attempt));
		headers.add(header(BurdockHeader.QUEUE, this.queue));
		headers.add(header(BurdockHeader.REQUEST_ID, this.requestId));
		headers.add(header(BurdockHeader.DEADLINE_MILLIS, this.remainingMillis));
		this.runnerDeadlineMillis
			.ifPresent((millis) -> headers.add(header(BurdockHeader.RUNNER_DEADLINE_MILLIS, millis)));
		return headers;
	}

	private ContentType parsedContentType() {
		try {
			return ContentTypeParser.parse(this.contentType);
		}
		catch (IllegalArgumentException ex) {
			return ContentTypes.APPLICATION_OCTET_STREAM;
		}
	}

	private static HttpHeader header(BurdockHeader header, Object value) {
		return RawHeader.create(header.headerName(), value.toString());
	}

}
