package io.burdockpin.testbench.runner;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.AskPattern;
import org.apache.pekko.http.javadsl.ConnectionContext;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.IncomingConnection;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.ServerBuilder;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;

/**
 * Takes requests on the runner's address. Each connection serves one request after the
 * other; connections above the limit are closed. Immutable; its streams run in the actor
 * system.
 */
final class RunnerListener {

	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(120);

	private static final long BODY_TIMEOUT_MILLIS = 60_000;

	private final ActorSystem<?> system;

	private final ActorRef<RunnerActor.Command> runner;

	RunnerListener(ActorSystem<?> system, ActorRef<RunnerActor.Command> runner) {
		this.system = system;
		this.runner = runner;
	}

	// life cycle

	CompletionStage<ServerBinding> bind(RunnerSettings settings) {
		ServerBuilder server = Http.get(this.system).newServerAt(settings.address().host(), settings.address().port());
		return settings.tls()
			.map((tls) -> server.enableHttps(ConnectionContext.httpsServer(tls::listenerEngine)))
			.orElse(server)
			.connectionSource()
			.to(Sink.foreach(this::accept))
			.run(this.system);
	}

	// helpers

	private void accept(IncomingConnection connection) {
		CompletionStage<Boolean> accepted = AskPattern.ask(this.runner, RunnerActor.Connect::new, ANSWER_TIMEOUT,
				this.system.scheduler());
		accepted.thenAccept((stays) -> {
			if (stays) {
				serve(connection);
			}
			else {
				close(connection);
			}
		});
	}

	private void serve(IncomingConnection connection) {
		Flow<HttpRequest, HttpResponse, CompletionStage<org.apache.pekko.Done>> handler = Flow.of(HttpRequest.class)
			.watchTermination(Keep.right())
			.mapAsync(1, this::handle);
		connection.handleWith(handler, Materializer.matFromSystem(this.system))
			.whenComplete((done, failure) -> this.runner.tell(new RunnerActor.Disconnect()));
	}

	private void close(IncomingConnection connection) {
		Flow<HttpRequest, HttpResponse, NotUsed> closed = Flow.fromSinkAndSource(Sink.cancelled(), Source.empty());
		connection.handleWith(closed, Materializer.matFromSystem(this.system));
	}

	private CompletionStage<HttpResponse> handle(HttpRequest request) {
		return request.entity()
			.toStrict(BODY_TIMEOUT_MILLIS, this.system)
			.thenApply((entity) -> new RunRequest(header(request, "Burdock-Attempt"),
					header(request, "Burdock-Request-Id"), deadlineMillis(request), ownDeadlineMillis(request),
					entity.getData()))
			.thenCompose((run) -> AskPattern.ask(this.runner,
					(ActorRef<HttpResponse> replyTo) -> new RunnerActor.Run(run, replyTo), ANSWER_TIMEOUT,
					this.system.scheduler()));
	}

	private static String header(HttpRequest request, String name) {
		return request.getHeader(name).map((header) -> header.value()).orElse("");
	}

	private static OptionalLong ownDeadlineMillis(HttpRequest request) {
		String text = header(request, "Burdock-Runner-Deadline-Ms");
		return text.isEmpty() ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(text));
	}

	private static long deadlineMillis(HttpRequest request) {
		String text = header(request, "Burdock-Deadline-Ms");
		return text.isEmpty() ? ANSWER_TIMEOUT.toMillis() / 2 : Long.parseLong(text);
	}

}
