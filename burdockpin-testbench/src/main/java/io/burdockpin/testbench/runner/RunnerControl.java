package io.burdockpin.testbench.runner;

import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.program.JsonHttp;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.AskPattern;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Lets tests read the counts ({@code GET /counts}) and switch the behaviour
 * ({@code POST /behaviour/NAME}) on an address of its own, so that this takes none of the
 * runner's connections. Immutable.
 */
final class RunnerControl {

	private static final String BEHAVIOUR_PATH = "/behaviour/";

	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

	private final ActorSystem<?> system;

	private final ActorRef<RunnerActor.Command> runner;

	private final JsonHttp json;

	RunnerControl(ActorSystem<?> system, ActorRef<RunnerActor.Command> runner) {
		this.system = system;
		this.runner = runner;
		this.json = new JsonHttp(system);
	}

	// life cycle

	CompletionStage<ServerBinding> bind(EndPoint address) {
		return Http.get(this.system).newServerAt(address.host(), address.port()).bind(this::handle);
	}

	// helpers

	private CompletionStage<HttpResponse> handle(HttpRequest request) {
		String path = request.getUri().path();
		if (path.equals("/counts")) {
			return AskPattern.ask(this.runner, RunnerActor.GetCounts::new, ANSWER_TIMEOUT, this.system.scheduler())
				.thenApply((counts) -> this.json.answer(200, counts));
		}
		if (path.startsWith(BEHAVIOUR_PATH)) {
			return CompletableFuture.completedFuture(switchTo(path.substring(BEHAVIOUR_PATH.length())));
		}
		return CompletableFuture.completedFuture(this.json.answer(404, Map.of("message", "unknown path " + path)));
	}

	private HttpResponse switchTo(String name) {
		Optional<RunnerBehaviour> behaviour = Arrays.stream(RunnerBehaviour.values())
			.filter((candidate) -> candidate.name().equals(name.toUpperCase(Locale.ROOT)))
			.findFirst();
		behaviour.ifPresent((found) -> this.runner.tell(new RunnerActor.SetBehaviour(found)));
		return behaviour.map((found) -> this.json.answer(200, Map.of("behaviour", found)))
			.orElseGet(() -> this.json.answer(400, Map.of("message", "unknown behaviour " + name)));
	}

}
