package io.burdockpin.testbench.proxy;

import java.time.Duration;
import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.GuardianCommand;
import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.program.JsonHttp;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.PostStop;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.AskPattern;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Root of the fault proxy. Owns the proxy and switches its fault on
 * {@code POST /fault/NAME?delayMillis=N}.
 */
public final class ProxyGuardian extends AbstractBehavior<GuardianCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final String FAULT_PATH = "/fault/";

	private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);

	private final CompletableFuture<ExitStatus> exit;

	private final FaultProxy proxy;

	private final JsonHttp json;

	private ProxyGuardian(ActorContext<GuardianCommand> context, FaultProxy proxy, EndPoint controlAddress,
			CompletableFuture<ExitStatus> exit) {
		super(context);
		this.exit = exit;
		this.proxy = proxy;
		this.json = new JsonHttp(context.getSystem());
		context.pipeToSelf(Http.get(context.getSystem())
			.newServerAt(controlAddress.host(), controlAddress.port())
			.bind(handler(context, this.json)), (bound, failure) -> new Bound(failure == null));
	}

	// life cycle

	/**
	 * Creates the root behavior.
	 * @param listen where the proxy accepts connections
	 * @param target where it connects to
	 * @param controlAddress where tests switch the fault
	 * @param exit the exit status of the program
	 * @return the behavior
	 */
	public static Behavior<GuardianCommand> create(EndPoint listen, EndPoint target, EndPoint controlAddress,
			CompletableFuture<ExitStatus> exit) {
		return Behaviors
			.setup((context) -> new ProxyGuardian(context, new FaultProxy(listen, target), controlAddress, exit));
	}

	@Override
	public Receive<GuardianCommand> createReceive() {
		return newReceiveBuilder().onMessage(Switch.class, this::onSwitch)
			.onMessage(Bound.class, this::onBound)
			.onMessage(GuardianCommand.Stop.class, (command) -> Behaviors.stopped())
			.onSignal(PostStop.class, (signal) -> onPostStop())
			.build();
	}

	private Behavior<GuardianCommand> onSwitch(Switch command) {
		logger.atInfo().log("Fault is now %s.", command.fault());
		if (command.fault().delays()) {
			this.proxy.delay(command.delayMillis());
		}
		else {
			this.proxy.inject(command.fault());
		}
		command.replyTo().tell(this.json.answer(200, Map.of("fault", command.fault())));
		return this;
	}

	private Behavior<GuardianCommand> onBound(Bound bound) {
		if (bound.succeeded()) {
			return this;
		}
		logger.atSevere().log("Cannot listen on the control address.");
		this.exit.complete(ExitStatus.ADDRESS_UNAVAILABLE);
		return Behaviors.stopped();
	}

	private Behavior<GuardianCommand> onPostStop() {
		this.proxy.close();
		return this;
	}

	// helpers

	private static org.apache.pekko.japi.function.Function<HttpRequest, CompletionStage<HttpResponse>> handler(
			ActorContext<GuardianCommand> context, JsonHttp json) {
		ActorRef<GuardianCommand> self = context.getSelf();
		org.apache.pekko.actor.typed.Scheduler scheduler = context.getSystem().scheduler();
		return (request) -> {
			Optional<Fault> fault = faultIn(request.getUri().path());
			if (fault.isEmpty()) {
				return CompletableFuture.completedFuture(json.answer(404, Map.of("message", "unknown fault")));
			}
			long delayMillis = request.getUri().query().get("delayMillis").map(Long::parseLong).orElse(0L);
			return AskPattern.ask(self,
					(ActorRef<HttpResponse> replyTo) -> new Switch(fault.get(), delayMillis, replyTo), ANSWER_TIMEOUT,
					scheduler);
		};
	}

	private static Optional<Fault> faultIn(String path) {
		if (!path.startsWith(FAULT_PATH)) {
			return Optional.empty();
		}
		String name = path.substring(FAULT_PATH.length()).toUpperCase(Locale.ROOT);
		return Arrays.stream(Fault.values()).filter((fault) -> fault.name().equals(name)).findFirst();
	}

	/**
	 * Switches the fault.
	 *
	 * @param fault the new fault
	 * @param delayMillis the delay if the fault delays
	 * @param replyTo receives the answer
	 */
	private record Switch(Fault fault, long delayMillis, ActorRef<HttpResponse> replyTo) implements GuardianCommand {

	}

	/**
	 * The control listener was bound or could not be bound.
	 *
	 * @param succeeded whether it is bound
	 */
	private record Bound(boolean succeeded) implements GuardianCommand {

	}

}
