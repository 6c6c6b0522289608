package io.burdockpin.entry.router;

import java.util.List;

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
 * One attempt on a runner. Immutable.
 *
 * @param attempt number of the attempt
 * @param queue the queue
 * @param requestId identifier of the request
 * @param contentType content type of the body
 * @param body the body
 * @param remainingMillis time left
 */
record RunnerCall(long attempt, QueueName queue, RequestId requestId, String contentType, Payload body,
		long remainingMillis) {

	private static final HttpRequest RUN = HttpRequest.POST("/run");

	RunnerCall {
		remainingMillis = Math.max(1, remainingMillis);
	}

	HttpRequest request() {
		return RUN
			.withHeaders(List.of(header(BurdockHeader.ATTEMPT, this.attempt), header(BurdockHeader.QUEUE, this.queue),
					header(BurdockHeader.REQUEST_ID, this.requestId),
					header(BurdockHeader.DEADLINE_MILLIS, this.remainingMillis)))
			.withEntity(HttpEntities.create(parsedContentType(), this.body.bytes()));
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
