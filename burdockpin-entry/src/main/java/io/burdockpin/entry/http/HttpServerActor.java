package io.burdockpin.entry.http;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.json.OperatorJsonCodec;
import io.burdockpin.codec.thrift.impl.ThriftOperatorCodec;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.cfg.EntrySettings;
import io.burdockpin.runtime.http.ConnectionEvent;
import io.burdockpin.runtime.http.ConnectionHandle;
import io.burdockpin.runtime.http.ServerConnectionStage;
import io.burdockpin.runtime.metric.MetricRegistry;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.StartupException;
import io.burdockpin.runtime.tls.ReloadableTlsIdentity;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.http.javadsl.ConnectionContext;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.ServerBuilder;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ServerSettings;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Flow;
import scala.concurrent.duration.Duration;
import scala.concurrent.duration.FiniteDuration;

/**
 * Owns the HTTP listener and its open connections. The endpoints are stateless and
 * forward requests to actors.
 */
public final class HttpServerActor extends AbstractBehavior<HttpCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Maximum request timeout plus 20 percent. */
	private static final long IDLE_TIMEOUT_SECONDS = 72;

	/**
	 * Maximum time during a stop for callers to read their answers. Equal to the idle
	 * timeout, which limits a slow caller at other times.
	 */
	private static final java.time.Duration TERMINATE_TIMEOUT = java.time.Duration.ofSeconds(IDLE_TIMEOUT_SECONDS);

	private static final int MAX_CONNECTIONS = 8192;

	private final List<HttpEndpoint> endpoints;

	private final ResponseFactory responses;

	private final Materializer materializer;

	private final List<ActorRef<InetSocketAddress>> boundWaiters = new ArrayList<>();

	private final Set<ConnectionHandle> connections = new HashSet<>();

	private Optional<ServerBinding> binding = Optional.empty();

	private Optional<ActorRef<Done>> terminating = Optional.empty();

	private HttpServerActor(ActorContext<HttpCommand> context, EntryActors actors, EntryIdentity identity,
			EntrySettings settings, Optional<ReloadableTlsIdentity> tls, MetricRegistry metrics) {
		super(context);
		JsonBodyMapper json = new JsonBodyMapper();
		this.materializer = Materializer.createMaterializer(context);
		RequestBodyReader bodies = new RequestBodyReader(this.materializer);
		this.responses = new ResponseFactory(json);
		long proposalMillis = settings.timing().proposalMillis();
		this.endpoints = List.of(
				new QueueEndpoint(actors, bodies, this.responses, settings.limits(), identity, metrics),
				new AnnounceEndpoint(actors, bodies, json, this.responses, identity,
						settings.timing().attachmentMillis(), settings.runnerTlsPolicy()),
				new JobEndpoint(actors, bodies, json, this.responses, identity,
						settings.admissionLimits().requestIdWindow(), proposalMillis),
				new OperatorEndpoint(actors, bodies, this.responses, proposalMillis, new OperatorJsonCodec(),
						new ThriftOperatorCodec()),
				new StatusEndpoint(actors, identity, metrics));
		bind(settings, tls);
	}

	// life cycle

	/**
	 * Creates the behavior of the listener.
	 * @param actors the actors that endpoints use
	 * @param identity the identity and clock of this process
	 * @param settings the validated settings
	 * @param tls current certificates; without them the listener uses plain HTTP
	 * @param metrics the metrics that endpoints update and report
	 * @return the behavior
	 */
	public static Behavior<HttpCommand> create(EntryActors actors, EntryIdentity identity, EntrySettings settings,
			Optional<ReloadableTlsIdentity> tls, MetricRegistry metrics) {
		return Behaviors.setup((context) -> new HttpServerActor(context, actors, identity, settings, tls, metrics));
	}

	@Override
	public Receive<HttpCommand> createReceive() {
		return newReceiveBuilder().onMessage(HttpCommand.Bound.class, this::onBound)
			.onMessage(HttpCommand.BindFailed.class, this::onBindFailed)
			.onMessage(HttpCommand.AwaitBound.class, this::onAwaitBound)
			.onMessage(HttpCommand.StopAccepting.class, (command) -> onStopAccepting())
			.onMessage(HttpCommand.Terminate.class, this::onTerminate)
			.onMessage(HttpCommand.ConnectionChanged.class, this::onConnectionChanged)
			.onMessage(HttpCommand.TerminateTimedOut.class, (command) -> onTerminateTimedOut())
			.build();
	}

	private Behavior<HttpCommand> onBound(HttpCommand.Bound command) {
		logger.atInfo().log("Listening for HTTP requests on %s.", command.binding().localAddress());
		this.binding = Optional.of(command.binding());
		this.boundWaiters.forEach((waiter) -> waiter.tell(command.binding().localAddress()));
		this.boundWaiters.clear();
		return this;
	}

	private Behavior<HttpCommand> onBindFailed(HttpCommand.BindFailed command) {
		throw new StartupException(ExitStatus.ADDRESS_UNAVAILABLE, ErrorCode.CONNECTION_FAILED,
				"cannot bind the HTTP address: " + command.reason(), null);
	}

	private Behavior<HttpCommand> onAwaitBound(HttpCommand.AwaitBound command) {
		if (this.binding.isPresent()) {
			command.replyTo().tell(this.binding.get().localAddress());
		}
		else {
			this.boundWaiters.add(command.replyTo());
		}
		return this;
	}

	private Behavior<HttpCommand> onStopAccepting() {
		this.binding.ifPresent(ServerBinding::unbind);
		return this;
	}

	private Behavior<HttpCommand> onTerminate(HttpCommand.Terminate command) {
		this.terminating = Optional.of(command.replyTo());
		this.connections.forEach(ConnectionHandle::closeAfterResponse);
		getContext().scheduleOnce(TERMINATE_TIMEOUT, getContext().getSelf(), HttpCommand.TerminateTimedOut.INSTANCE);
		reportTerminated();
		return this;
	}

	private Behavior<HttpCommand> onConnectionChanged(HttpCommand.ConnectionChanged command) {
		if (command.event() instanceof ConnectionEvent.Opened opened) {
			this.connections.add(opened.connection());
			if (this.terminating.isPresent()) {
				opened.connection().closeAfterResponse();
			}
		}
		else if (command.event() instanceof ConnectionEvent.Closed ended) {
			this.connections.remove(ended.connection());
			reportTerminated();
		}
		return this;
	}

	private Behavior<HttpCommand> onTerminateTimedOut() {
		logger.atWarning()
			.log("%d connections were not closed within %d s, because callers have not read their answers.",
					this.connections.size(), TERMINATE_TIMEOUT.toSeconds());
		this.connections.clear();
		reportTerminated();
		return this;
	}

	// helpers

	private void reportTerminated() {
		if (this.connections.isEmpty()) {
			this.terminating.ifPresent((replyTo) -> replyTo.tell(Done.getInstance()));
			this.terminating = Optional.empty();
		}
	}

	private void bind(EntrySettings settings, Optional<ReloadableTlsIdentity> tls) {
		ActorRef<HttpCommand> self = getContext().getSelf();
		ActorRef<ConnectionEvent> connectionEvents = getContext().messageAdapter(ConnectionEvent.class,
				HttpCommand.ConnectionChanged::new);
		ServerSettings defaults = ServerSettings.create(getContext().getSystem().classicSystem());
		// The server has no request timeout, because requests wait for runners and end by
		// their own deadlines.
		ServerSettings serverSettings = defaults
			.withTimeouts(defaults.getTimeouts()
				.withRequestTimeout(Duration.Inf())
				.withIdleTimeout(FiniteDuration.create(IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS)))
			.withMaxConnections(MAX_CONNECTIONS)
			// With a limit of 1 the server does not read during a request and would not
			// detect that the caller disconnects. Requests on one connection are still
			// processed sequentially.
			.withPipeliningLimit(2);
		ServerBuilder server = Http.get(getContext().getSystem())
			.newServerAt(settings.httpAddress().ip(), settings.httpAddress().port())
			.withSettings(serverSettings);
		tls.map((current) -> server.enableHttps(ConnectionContext.httpsServer(current::callerEngine)))
			.orElse(server)
			.bindFlow(Flow.fromGraph(new ServerConnectionStage(this::handle, connectionEvents)))
			.whenComplete((bound, failure) -> self.tell((failure != null)
					? new HttpCommand.BindFailed(String.valueOf(failure.getMessage())) : new HttpCommand.Bound(bound)));
	}

	private CompletionStage<HttpResponse> handle(HttpRequest request) {
		// Called on threads of the HTTP library, so it must use immutable state only.
		return answer(request).exceptionally(this.responses::error);
	}

	private CompletionStage<HttpResponse> answer(HttpRequest request) {
		try {
			List<String> segments = PathSegments.of(request);
			for (HttpEndpoint endpoint : this.endpoints) {
				Optional<CompletionStage<HttpResponse>> response = endpoint.handle(request, segments);
				if (response.isPresent()) {
					return response.get();
				}
			}
			throw new HttpRefusedException(ErrorCode.BAD_REQUEST, "unknown path or method", null);
		}
		catch (RuntimeException ex) {
			request.discardEntityBytes(this.materializer);
			return CompletableFuture.failedFuture(ex);
		}
	}

}
