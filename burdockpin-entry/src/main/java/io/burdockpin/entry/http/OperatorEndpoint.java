package io.burdockpin.entry.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import io.burdockpin.codec.json.OperatorJsonCodec;
import io.burdockpin.codec.thrift.impl.OperatorCall;
import io.burdockpin.codec.thrift.impl.ThriftOperatorCodec;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import io.burdockpin.entry.operator.OperatorCommand;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Serves operator requests as JSON, {@code POST /v1/operator}, and as Thrift messages,
 * {@code POST /v1/operator/thrift}.
 */
final class OperatorEndpoint implements HttpEndpoint {

	private static final int MAX_BODY_BYTES = 1024 * 1024;

	private static final long ANSWER_MARGIN_MILLIS = 2000;

	private static final ContentType THRIFT = ContentTypes.parse("application/x-thrift");

	private final EntryActors actors;

	private final RequestBodyReader bodies;

	private final ResponseFactory responses;

	private final Duration timeout;

	private final OperatorJsonCodec jsonCodec;

	private final ThriftOperatorCodec thriftCodec;

	OperatorEndpoint(EntryActors actors, RequestBodyReader bodies, ResponseFactory responses, long proposalMillis,
			OperatorJsonCodec jsonCodec, ThriftOperatorCodec thriftCodec) {
		this.actors = actors;
		this.bodies = bodies;
		this.responses = responses;
		this.timeout = Duration.ofMillis(proposalMillis + ANSWER_MARGIN_MILLIS);
		this.jsonCodec = jsonCodec;
		this.thriftCodec = thriftCodec;
	}

	@Override
	public Optional<CompletionStage<HttpResponse>> handle(HttpRequest request, List<String> segments) {
		if (!request.method().equals(HttpMethods.POST)) {
			return Optional.empty();
		}
		if (segments.equals(List.of("v1", "operator"))) {
			return Optional.of(this.bodies.read(request, MAX_BODY_BYTES).thenCompose(this::json));
		}
		if (segments.equals(List.of("v1", "operator", "thrift"))) {
			return Optional.of(this.bodies.read(request, MAX_BODY_BYTES).thenCompose(this::thrift));
		}
		return Optional.empty();
	}

	private CompletionStage<HttpResponse> json(byte[] body) {
		return ask(this.jsonCodec.decodeRequest(body)).thenApply((reply) -> this.responses.bytes(status(reply),
				ContentTypes.APPLICATION_JSON, this.jsonCodec.encodeReply(reply)));
	}

	private CompletionStage<HttpResponse> thrift(byte[] body) {
		OperatorCall call = this.thriftCodec.decodeCall(body);
		return ask(call.request())
			.thenApply((reply) -> this.responses.bytes(200, THRIFT, this.thriftCodec.encodeReply(call, reply)));
	}

	private CompletionStage<OperatorReply> ask(OperatorRequest request) {
		return this.actors
			.ask(this.actors.operators(), (ActorRef<OperatorReply> replyTo) -> new OperatorCommand(request, replyTo),
					this.timeout)
			.exceptionally(
					(failure) -> OperatorReply.Failed.of(ErrorCode.OUTCOME_UNKNOWN, "no answer before the timeout"));
	}

	private static int status(OperatorReply reply) {
		return (reply instanceof OperatorReply.Failed failed) ? ErrorStatus.of(failed.code()) : 200;
	}

}
