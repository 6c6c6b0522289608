package io.burdockpin.control.admin;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.control.replica.ControlStatus;
import io.burdockpin.control.replica.ReplicaMessage;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.AskPattern;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.japi.function.Function;

/**
 * Serves {@code /health}, {@code /ready} and {@code /metrics}. Owns its listening socket.
 */
public final class AdminHttp extends AbstractBehavior<AdminHttp.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The replica answers within one event; a longer silence means that it is stuck. */
	private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

	private final ActorRef<ReplicaMessage> replica;

	private final ActorRef<Report> owner;

	private final ControlMetrics metrics = new ControlMetrics();

	private boolean stopping;

	private AdminHttp(ActorContext<Command> context, InetSocketAddress address, ActorRef<ReplicaMessage> replica,
			ActorRef<Report> owner) {
		super(context);
		this.replica = replica;
		this.owner = owner;
		bind(address);
	}

	// life cycle

	/**
	 * Creates the behavior.
	 * @param address where to listen
	 * @param replica is asked for the status
	 * @param owner is told whether the address could be bound
	 * @return the behavior
	 */
	public static Behavior<Command> create(InetSocketAddress address, ActorRef<ReplicaMessage> replica,
			ActorRef<Report> owner) {
		return Behaviors.setup((context) -> new AdminHttp(context, address, replica, owner));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(PageRequest.class, this::onPageRequest)
			.onMessage(StatusArrived.class, this::onStatusArrived)
			.onMessageEquals(Stopping.INSTANCE, this::onStopping)
			.onMessage(Bound.class, this::onBound)
			.onMessage(BindFailed.class, this::onBindFailed)
			.build();
	}

	private Behavior<Command> onBound(Bound command) {
		logger.atInfo().log("Serves health and metrics on %s.", command.address());
		this.owner.tell(new Opened());
		return this;
	}

	private Behavior<Command> onBindFailed(BindFailed command) {
		logger.atSevere().log("Cannot serve health and metrics: %s.", command.reason());
		this.owner.tell(new Failed(command.reason()));
		return this;
	}

	private Behavior<Command> onStopping() {
		this.stopping = true;
		return this;
	}

	// requests

	private Behavior<Command> onPageRequest(PageRequest request) {
		Optional<AdminPage> page = AdminPage.ofPath(request.path());
		if (page.isEmpty()) {
			request.replyTo().tell(HttpResponse.create().withStatus(StatusCodes.NOT_FOUND));
			return this;
		}
		getContext().ask(ControlStatus.class, this.replica, STATUS_TIMEOUT, ReplicaMessage.FetchStatus::new,
				(status, failure) -> new StatusArrived(page.get(), Optional.ofNullable(status), request.replyTo()));
		return this;
	}

	private Behavior<Command> onStatusArrived(StatusArrived command) {
		HttpResponse response = command.status()
			.map((status) -> command.page().render(status, this.stopping, this.metrics))
			.orElseGet(() -> HttpResponse.create().withStatus(StatusCodes.SERVICE_UNAVAILABLE));
		command.replyTo().tell(response);
		return this;
	}

	// helpers

	private void bind(InetSocketAddress address) {
		ActorSystem<?> system = getContext().getSystem();
		ActorRef<Command> self = getContext().getSelf();
		Function<HttpRequest, CompletionStage<HttpResponse>> handler = (request) -> handle(request, self, system);
		Http.get(system)
			.newServerAt(address.getHostString(), address.getPort())
			.bind(handler)
			.whenComplete((binding, failure) -> self
				.tell((failure != null) ? new BindFailed(failure.getMessage()) : new Bound(binding.localAddress())));
	}

	private static CompletionStage<HttpResponse> handle(HttpRequest request, ActorRef<Command> self,
			ActorSystem<?> system) {
		String path = request.getUri().path();
		request.discardEntityBytes(system);
		return AskPattern.ask(self, (replyTo) -> new PageRequest(path, replyTo), REQUEST_TIMEOUT, system.scheduler());
	}

	/** Messages of the HTTP part. */
	public sealed interface Command {

	}

	/** A planned stop has begun. */
	public enum Stopping implements Command {

		/** The only instance. */
		INSTANCE

	}

	private record PageRequest(String path, ActorRef<HttpResponse> replyTo) implements Command {

	}

	private record StatusArrived(AdminPage page, Optional<ControlStatus> status,
			ActorRef<HttpResponse> replyTo) implements Command {

	}

	private record Bound(InetSocketAddress address) implements Command {

	}

	private record BindFailed(String reason) implements Command {

	}

	/** What the HTTP part tells its owner. */
	public sealed interface Report {

	}

	/** Requests are served. */
	public record Opened() implements Report {

	}

	/**
	 * The address cannot be bound.
	 *
	 * @param reason why
	 */
	public record Failed(String reason) implements Report {

	}

}
