package io.burdockpin.control.admin;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.control.replica.ControlStatus;
import io.burdockpin.control.replica.ReplicaMessage;
import io.burdockpin.core.consensus.ReplicaStatus;
import io.burdockpin.runtime.http.HealthReport;
import io.burdockpin.runtime.http.ManagementRoutes;
import io.burdockpin.runtime.metric.MetricRegistry;
import io.burdockpin.runtime.tls.ReloadableTlsIdentity;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.AskPattern;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.http.javadsl.ConnectionContext;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBuilder;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.japi.function.Function;

/**
 * HTTP server for {@code /health}, {@code /ready} and {@code /metrics}. Owns its
 * listening socket.
 */
public final class AdminHttp extends AbstractBehavior<AdminHttp.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * The replica answers while handling a single message, so a timeout means that it is
	 * blocked.
	 */
	private static final Duration STATUS_TIMEOUT = Duration.ofSeconds(1);

	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(2);

	private static final HealthReport UNRESPONSIVE = new HealthReport(false, false,
			Map.of("reason", "the replica does not respond"));

	private final ActorRef<ReplicaMessage> replica;

	private final ActorRef<Report> owner;

	private boolean stopping;

	private AdminHttp(ActorContext<Command> context, InetSocketAddress address, Optional<ReloadableTlsIdentity> tls,
			ActorRef<ReplicaMessage> replica, MetricRegistry metrics, ActorRef<Report> owner) {
		super(context);
		this.replica = replica;
		this.owner = owner;
		bind(address, tls, metrics);
	}

	// life cycle

	/**
	 * Creates the behavior.
	 * @param address the listen address
	 * @param tls certificates of the process; plain HTTP if empty
	 * @param replica source of the status
	 * @param metrics the metrics of the process
	 * @param owner receives {@link Opened} or {@link Failed}
	 * @return the behavior of the server
	 */
	public static Behavior<Command> create(InetSocketAddress address, Optional<ReloadableTlsIdentity> tls,
			ActorRef<ReplicaMessage> replica, MetricRegistry metrics, ActorRef<Report> owner) {
		return Behaviors.setup((context) -> new AdminHttp(context, address, tls, replica, metrics, owner));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(HealthRequest.class, this::onHealthRequest)
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

	private Behavior<Command> onHealthRequest(HealthRequest request) {
		getContext().ask(ControlStatus.class, this.replica, STATUS_TIMEOUT, ReplicaMessage.FetchStatus::new,
				(status, failure) -> new StatusArrived(Optional.ofNullable(status), request.replyTo()));
		return this;
	}

	private Behavior<Command> onStatusArrived(StatusArrived command) {
		command.replyTo().tell(command.status().map(this::report).orElse(UNRESPONSIVE));
		return this;
	}

	// helpers

	private HealthReport report(ControlStatus status) {
		ReplicaStatus log = status.replica();
		Map<String, String> details = new TreeMap<>();
		details.put("host", log.self().host().value());
		details.put("incarnation", Long.toString(log.self().incarnation()));
		details.put("admitted", Boolean.toString(log.membership().find(log.self()).isPresent()));
		details.put("role", log.role().name());
		details.put("term", Long.toString(log.term()));
		details.put("leader", log.leader().map((leader) -> leader.host().value()).orElse(""));
		details.put("majorityReachable", Boolean.toString(status.majorityReachable()));
		details.put("commitIndex", Long.toString(log.commitIndex()));
		details.put("lastIndex", Long.toString(log.lastIndex()));
		details.put("configurationIndex", Long.toString(status.configurationIndex()));
		details.put("diskHangs", Boolean.toString(status.diskHangs()));
		details.put("stopping", Boolean.toString(this.stopping));
		return new HealthReport(true, status.majorityReachable() && !this.stopping, details);
	}

	private void bind(InetSocketAddress address, Optional<ReloadableTlsIdentity> tls, MetricRegistry metrics) {
		ActorSystem<?> system = getContext().getSystem();
		ActorRef<Command> self = getContext().getSelf();
		ManagementRoutes routes = new ManagementRoutes(metrics,
				() -> AskPattern.ask(self, HealthRequest::new, REQUEST_TIMEOUT, system.scheduler()));
		Function<HttpRequest, CompletionStage<HttpResponse>> handler = (request) -> handle(request, routes, system);
		ServerBuilder server = Http.get(system).newServerAt(address.getHostString(), address.getPort());
		tls.map((current) -> server.enableHttps(ConnectionContext.httpsServer(current::callerEngine)))
			.orElse(server)
			.bind(handler)
			.whenComplete((binding, failure) -> self
				.tell((failure != null) ? new BindFailed(failure.getMessage()) : new Bound(binding.localAddress())));
	}

	private static CompletionStage<HttpResponse> handle(HttpRequest request, ManagementRoutes routes,
			ActorSystem<?> system) {
		request.discardEntityBytes(system);
		return routes.handle(request)
			.orElseGet(
					() -> CompletableFuture.completedFuture(HttpResponse.create().withStatus(StatusCodes.NOT_FOUND)));
	}

	/** Messages of the HTTP server. */
	public sealed interface Command {

	}

	/** A planned stop has begun; {@code /ready} reports not ready from now on. */
	public enum Stopping implements Command {

		/** The only instance. */
		INSTANCE

	}

	private record HealthRequest(ActorRef<HealthReport> replyTo) implements Command {

	}

	private record StatusArrived(Optional<ControlStatus> status, ActorRef<HealthReport> replyTo) implements Command {

	}

	private record Bound(InetSocketAddress address) implements Command {

	}

	private record BindFailed(String reason) implements Command {

	}

	/** Messages from the HTTP server to its owner. */
	public sealed interface Report {

	}

	/** The address is bound and requests are served. */
	public record Opened() implements Report {

	}

	/**
	 * The address could not be bound.
	 *
	 * @param reason message of the bind failure
	 */
	public record Failed(String reason) implements Report {

	}

}
