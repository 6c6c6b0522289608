package io.burdockpin.entry.router;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.retry.Answer;
import io.burdockpin.core.retry.AttemptResult;
import io.burdockpin.core.routing.AttemptVerdict;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;

/**
 * Owns one connection to a runner for one attempt. An answer that arrives late or twice
 * can so never reach another request. The connection ends with the actor.
 */
final class RunnerConnection extends AbstractBehavior<RunnerConnection.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int SERVICE_UNAVAILABLE = 503;

	private final RunnerConnector connector;

	private final RunnerCall call;

	private final ActorRef<AttemptReport> replyTo;

	private final Materializer materializer;

	private RunnerConnection(ActorContext<Command> context, RunnerConnector connector, RunnerCall call,
			ActorRef<AttemptReport> replyTo) {
		super(context);
		this.connector = connector;
		this.call = call;
		this.replyTo = replyTo;
		this.materializer = Materializer.createMaterializer(context);
		connect();
	}

	// life cycle

	static Behavior<Command> create(RunnerConnector connector, RunnerCall call, ActorRef<AttemptReport> replyTo) {
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> {
			timers.startSingleTimer(DeadlinePassed.INSTANCE, Duration.ofMillis(call.remainingMillis()));
			return new RunnerConnection(context, connector, call, replyTo);
		}));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Answered.class, (command) -> end(judge(command.response())))
			.onMessage(NeverConnected.class, (command) -> end(neverConnected(command.reason())))
			.onMessage(Broken.class, (command) -> end(broken(ErrorCode.UPSTREAM_FAILED, command.reason())))
			.onMessage(DeadlinePassed.class,
					(command) -> end(broken(ErrorCode.DEADLINE_EXCEEDED, "the runner did not answer in time")))
			.build();
	}

	// helpers

	private void connect() {
		ActorRef<Command> self = getContext().getSelf();
		try {
			Pair<CompletionStage<OutgoingConnection>, CompletionStage<HttpResponse>> stages = Source
				.single(this.call.request())
				.viaMat(this.connector.connection(this.call.host(), this.call.port()), Keep.right())
				.mapAsync(1, this::collect)
				.toMat(Sink.head(), Keep.both())
				.run(this.materializer);
			stages.second()
				.whenComplete((response, failure) -> stages.first()
					.whenComplete((connected, connectFailure) -> self.tell(event(response, failure, connectFailure))));
		}
		catch (IllegalArgumentException ex) {
			self.tell(new NeverConnected(ex.getMessage()));
		}
	}

	private CompletionStage<HttpResponse> collect(HttpResponse response) {
		if (response.entity().isCloseDelimited()) {
			throw new IllegalStateException("the answer states no length");
		}
		return response.entity()
			.withSizeLimit(this.call.maximumAnswerBytes())
			.toStrict(this.call.remainingMillis(), this.materializer)
			.thenApply(response::withEntity);
	}

	private static Command event(HttpResponse response, Throwable failure, Throwable connectFailure) {
		if (connectFailure != null) {
			return new NeverConnected(String.valueOf(connectFailure.getMessage()));
		}
		return (failure != null) ? new Broken(String.valueOf(failure.getMessage())) : new Answered(response);
	}

	private AttemptReport judge(HttpResponse response) {
		Optional<String> attempt = header(response, BurdockHeader.ATTEMPT);
		if (!attempt.equals(Optional.of(Long.toString(this.call.attempt())))) {
			return broken(ErrorCode.UPSTREAM_FAILED, "the answer belongs to another attempt");
		}
		int status = response.status().intValue();
		if (status == SERVICE_UNAVAILABLE && header(response, BurdockHeader.NOT_RUN).isPresent()) {
			return new AttemptReport(AttemptResult.notRun(ErrorCode.NO_RUNNER, "the runner refused before the start"),
					AttemptVerdict.NEUTRAL);
		}
		return judge(answer(response));
	}

	private static AttemptReport judge(Answer answer) {
		AttemptVerdict verdict = AttemptVerdict.GOOD;
		if (answer.isUnavailable()) {
			verdict = AttemptVerdict.BAD;
		}
		else if (answer.isServerError()) {
			verdict = AttemptVerdict.SUSPECT;
		}
		return new AttemptReport(AttemptResult.ran(answer), verdict);
	}

	private static Answer answer(HttpResponse response) {
		byte[] body = ((org.apache.pekko.http.javadsl.model.HttpEntity.Strict) response.entity()).getData()
			.toArrayUnsafe();
		return new Answer(response.status().intValue(), response.entity().getContentType().toString(),
				Payload.of(body));
	}

	private static Optional<String> header(HttpResponse response, BurdockHeader header) {
		return response.getHeader(header.headerName()).map(HttpHeader::value);
	}

	private static AttemptReport neverConnected(String reason) {
		return new AttemptReport(AttemptResult.notRun(ErrorCode.CONNECTION_FAILED, "never connected: " + reason),
				AttemptVerdict.BAD);
	}

	private static AttemptReport broken(ErrorCode code, String reason) {
		return new AttemptReport(AttemptResult.unknown(code, reason), AttemptVerdict.BAD);
	}

	private Behavior<Command> end(AttemptReport report) {
		if (report.verdict() != AttemptVerdict.GOOD) {
			logger.atFine()
				.log("Attempt %d on %s: %s %s.", this.call.attempt(), this.call.host(), report.result().outcome(),
						report.result().message());
		}
		this.replyTo.tell(report);
		return Behaviors.stopped();
	}

	sealed interface Command {

	}

	private record Answered(HttpResponse response) implements Command {

	}

	private record NeverConnected(String reason) implements Command {

	}

	private record Broken(String reason) implements Command {

	}

	private enum DeadlinePassed implements Command {

		INSTANCE

	}

}
