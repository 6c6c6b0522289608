package io.burdockpin.entry.router;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.retry.AttemptResult;
import io.burdockpin.core.retry.RunnerResponse;
import io.burdockpin.core.routing.AttemptVerdict;
import io.burdockpin.core.routing.RunnerAttachment;
import io.burdockpin.runtime.metric.Metric;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.PostStop;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;

/**
 * Owns one connection to a runner and carries one attempt at a time. A response without
 * the number of the attempt in flight closes the connection, so a late or duplicate
 * response never reaches another request. A runner with TLS gets a request only after the
 * handshake, so an attempt on an untrusted runner certainly has not run. The connection
 * is closed when the actor stops.
 */
final class RunnerConnection extends AbstractBehavior<RunnerConnection.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int SERVICE_UNAVAILABLE = 503;

	/** Limits the log lines, because an untrusted runner is tried repeatedly. */
	private static final int WARN_EVERY_SECONDS = 10;

	/**
	 * Without a timeout, a server without TLS could wait forever for the rest of what it
	 * takes for a plain HTTP request.
	 */
	private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(2);

	private final TimerScheduler<Command> timers;

	private final RunnerConnector connector;

	private final RunnerAttachment attachment;

	private final Materializer materializer;

	private final MetricRegistry metrics;

	private final ActorRef<RunnerConnections.Command> owner;

	private final BoundedSourceQueue<HttpRequest> requests;

	private final UniqueKillSwitch killSwitch;

	private Optional<RunnerConnections.Attempt> current = Optional.empty();

	/** Whether requests may be sent; always true for a runner without TLS. */
	private boolean trusted;

	private boolean closed;

	private RunnerConnection(ActorContext<Command> context, TimerScheduler<Command> timers, RunnerConnector connector,
			RunnerAttachment attachment, Materializer materializer, MetricRegistry metrics,
			ActorRef<RunnerConnections.Command> owner) {
		super(context);
		this.timers = timers;
		this.connector = connector;
		this.attachment = attachment;
		this.materializer = materializer;
		this.metrics = metrics;
		this.owner = owner;
		this.trusted = !attachment.tls();
		if (attachment.tls()) {
			timers.startSingleTimer(HandshakeTimeout.INSTANCE, HANDSHAKE_TIMEOUT);
		}
		ActorRef<Command> self = context.getSelf();
		Pair<Pair<Pair<BoundedSourceQueue<HttpRequest>, CompletionStage<OutgoingConnection>>, UniqueKillSwitch>, CompletionStage<Done>> stream = Source
			.<HttpRequest>queue(1)
			.viaMat(connector.connection(attachment, () -> self.tell(HandshakeCompleted.INSTANCE)), Keep.both())
			.viaMat(KillSwitches.single(), Keep.both())
			.mapAsync(1, this::collect)
			.toMat(Sink.foreach((response) -> self.tell(new Answered(response))), Keep.both())
			.run(materializer);
		this.requests = stream.first().first().first();
		this.killSwitch = stream.first().second();
		CompletionStage<OutgoingConnection> connected = stream.first().first().second();
		stream.second()
			.whenComplete((done, failure) -> connected
				.whenComplete((connection, connectFailure) -> self.tell(closed(failure, connectFailure))));
	}

	// life cycle

	static Behavior<Command> create(RunnerConnector connector, RunnerAttachment attachment, Materializer materializer,
			MetricRegistry metrics, ActorRef<RunnerConnections.Command> owner) {
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> {
			try {
				return new RunnerConnection(context, timers, connector, attachment, materializer, metrics, owner);
			}
			catch (IllegalArgumentException ex) {
				return refuse(ex.getMessage());
			}
		}));
	}

	// Runners announce their own addresses, so an address may be invalid.
	private static Behavior<Command> refuse(String reason) {
		return Behaviors.receive(Command.class).onMessage(Run.class, (run) -> {
			run.attempt().replyTo().tell(notConnected(reason));
			return Behaviors.stopped();
		}).build();
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Run.class, this::onRun)
			.onMessage(HandshakeCompleted.class, (command) -> onHandshakeCompleted())
			.onMessage(HandshakeTimeout.class, (command) -> onHandshakeTimeout())
			.onMessage(Answered.class, (command) -> onAnswered(command.response()))
			.onMessage(Closed.class, this::onClosed)
			.onMessage(DeadlinePassed.class, (command) -> onDeadlinePassed())
			.onMessage(Close.class, (command) -> Behaviors.stopped())
			.onSignal(PostStop.class, (signal) -> onPostStop())
			.build();
	}

	private Behavior<Command> onRun(Run run) {
		RunnerCall call = run.attempt().call();
		if (this.closed || (this.trusted && !offer(call))) {
			this.closed = true;
			this.owner.tell(new RunnerConnections.NotSent(run.attempt(), getContext().getSelf()));
			return this;
		}
		this.current = Optional.of(run.attempt());
		this.timers.startSingleTimer(DeadlinePassed.INSTANCE, Duration.ofMillis(call.remainingMillis()));
		return this;
	}

	private Behavior<Command> onHandshakeTimeout() {
		String reason = "the TLS handshake timed out";
		return onClosed(new Closed(Optional.of(reason), reason));
	}

	private Behavior<Command> onHandshakeCompleted() {
		if (this.trusted) {
			// With TLS 1.3, each session ticket reports a completed handshake again.
			return this;
		}
		this.timers.cancel(HandshakeTimeout.INSTANCE);
		if (this.current.isPresent() && !offer(this.current.get().call())) {
			return end(notConnected("the runner closed the connection after the TLS handshake"));
		}
		this.trusted = true;
		return this;
	}

	private Behavior<Command> onAnswered(HttpResponse response) {
		if (this.current.isEmpty()) {
			// After a response without a request, later data on this connection cannot be
			// assigned to a request.
			return onClosed(new Closed(Optional.empty(), "the runner sent a response without a request"));
		}
		RunnerConnections.Attempt attempt = this.current.get();
		AttemptReport report = evaluate(attempt.call(), response);
		if (!attempt.repeatable() || report.result().outcome() == Outcome.UNKNOWN || announcesClose(response)) {
			return end(report);
		}
		this.timers.cancel(DeadlinePassed.INSTANCE);
		this.current = Optional.empty();
		// The owner is notified before the request, so that the next attempt can reuse
		// the
		// connection.
		this.owner.tell(new RunnerConnections.ConnectionIdle(this.attachment, getContext().getSelf()));
		report(attempt, report);
		return this;
	}

	private Behavior<Command> onClosed(Closed command) {
		if (this.current.isPresent()) {
			return this.trusted
					? end(command.connectFailure()
						.map(RunnerConnection::notConnected)
						.orElseGet(() -> unknownOutcome(ErrorCode.UPSTREAM_FAILED, command.reason())))
					: endUntrusted(command.connectFailure().orElse(command.reason()));
		}
		// Waits for the owner to confirm, because it may already have sent an attempt
		// here.
		this.closed = true;
		this.owner.tell(new RunnerConnections.ConnectionClosed(getContext().getSelf()));
		return this;
	}

	private Behavior<Command> onDeadlinePassed() {
		return this.trusted
				? end(unknownOutcome(ErrorCode.DEADLINE_EXCEEDED, "the runner did not respond before the deadline"))
				: endUntrusted("the deadline passed during the TLS handshake");
	}

	private Behavior<Command> onPostStop() {
		this.killSwitch.shutdown();
		if (!this.requests.isCompleted()) {
			// Completing the queue would keep the connection open until the response to a
			// request in flight.
			this.requests.fail(new CancellationException("the connection was closed by its owner"));
		}
		return this;
	}

	// helpers

	private boolean offer(RunnerCall call) {
		return this.requests.offer(call.request()) == QueueOfferResult.enqueued();
	}

	// The request was not sent, so the attempt has not run.
	private Behavior<Command> endUntrusted(String reason) {
		logger.atWarning()
			.atMostEvery(WARN_EVERY_SECONDS, TimeUnit.SECONDS)
			.log("No trusted connection to runner %s at %s: %s.", this.attachment.runner().value(),
					this.attachment.address(), reason);
		return end(notConnected(reason));
	}

	private CompletionStage<HttpResponse> collect(HttpResponse response) {
		// Runs on stream threads, so it uses immutable state only.
		if (response.entity().isCloseDelimited()) {
			throw new IllegalStateException("the response has no length");
		}
		if (response.entity() instanceof HttpEntity.Strict strict
				&& strict.getData().size() <= this.connector.maximumAnswerBytes()) {
			// Avoids the extra stream stages, each of which hops to another thread.
			return CompletableFuture.completedFuture(response);
		}
		return response.entity()
			.withSizeLimit(this.connector.maximumAnswerBytes())
			.toStrict(this.connector.longestRequestMillis(), this.materializer)
			.thenApply(response::withEntity);
	}

	private static Closed closed(Throwable failure, Throwable connectFailure) {
		return new Closed(Optional.ofNullable(connectFailure).map((cause) -> String.valueOf(cause.getMessage())),
				(failure != null) ? String.valueOf(failure.getMessage()) : "the runner closed the connection");
	}

	private static boolean announcesClose(HttpResponse response) {
		return response.getHeader("Connection").filter((header) -> header.value().contains("close")).isPresent();
	}

	private AttemptReport evaluate(RunnerCall call, HttpResponse response) {
		Optional<String> attempt = header(response, BurdockHeader.ATTEMPT);
		if (!attempt.equals(Optional.of(Long.toString(call.attempt())))) {
			this.metrics.increment(Metric.LATE_ANSWERS);
			return unknownOutcome(ErrorCode.UPSTREAM_FAILED, "the response belongs to another attempt");
		}
		int status = response.status().intValue();
		if (status == SERVICE_UNAVAILABLE && header(response, BurdockHeader.NOT_RUN).isPresent()) {
			return new AttemptReport(
					AttemptResult.notRun(ErrorCode.NO_RUNNER, "the runner refused the request before running it"),
					AttemptVerdict.NEUTRAL);
		}
		return evaluate(answer(response));
	}

	private static AttemptReport evaluate(RunnerResponse answer) {
		AttemptVerdict verdict = AttemptVerdict.GOOD;
		if (answer.isUnavailable()) {
			verdict = AttemptVerdict.BAD;
		}
		else if (answer.isServerError()) {
			verdict = AttemptVerdict.SUSPECT;
		}
		return new AttemptReport(AttemptResult.ran(answer), verdict);
	}

	private static RunnerResponse answer(HttpResponse response) {
		byte[] body = ((HttpEntity.Strict) response.entity()).getData().toArrayUnsafe();
		return new RunnerResponse(response.status().intValue(), response.entity().getContentType().toString(),
				Payload.of(body));
	}

	private static Optional<String> header(HttpResponse response, BurdockHeader header) {
		return response.getHeader(header.headerName()).map(HttpHeader::value);
	}

	private static AttemptReport notConnected(String reason) {
		return new AttemptReport(AttemptResult.notRun(ErrorCode.CONNECTION_FAILED, "connection failed: " + reason),
				AttemptVerdict.BAD);
	}

	private static AttemptReport unknownOutcome(ErrorCode code, String reason) {
		return new AttemptReport(AttemptResult.unknown(code, reason), AttemptVerdict.BAD);
	}

	private Behavior<Command> end(AttemptReport report) {
		this.current.ifPresent((attempt) -> report(attempt, report));
		return Behaviors.stopped();
	}

	private void report(RunnerConnections.Attempt attempt, AttemptReport report) {
		if (report.verdict() != AttemptVerdict.GOOD) {
			logger.atFine()
				.log("Attempt %d on %s: %s %s.", attempt.call().attempt(), this.attachment.address(),
						report.result().outcome(), report.result().message());
		}
		attempt.replyTo().tell(report);
	}

	sealed interface Command {

	}

	/**
	 * Sends the request of an attempt. The connection must carry no other attempt.
	 *
	 * @param attempt the attempt to start
	 */
	record Run(RunnerConnections.Attempt attempt) implements Command {

	}

	/** Closes the connection. */
	enum Close implements Command {

		/** The only instance. */
		INSTANCE

	}

	/** The TLS handshake has verified the certificate of the runner. */
	private enum HandshakeCompleted implements Command {

		INSTANCE

	}

	private enum HandshakeTimeout implements Command {

		INSTANCE

	}

	private record Answered(HttpResponse response) implements Command {

	}

	private record Closed(Optional<String> connectFailure, String reason) implements Command {

	}

	private enum DeadlinePassed implements Command {

		INSTANCE

	}

}
