package io.burdockpin.runtime.link;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.io.FrameCodec;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;

/**
 * Actor that owns a listening socket and spawns a {@link LinkSession} for each accepted
 * connection.
 *
 * @param <M> type of the messages
 */
public final class LinkListener<M> extends AbstractBehavior<LinkListener.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Pending connections; the default of Pekko Streams. */
	private static final int BACKLOG = 100;

	private final String name;

	private final FrameCodec<M> codec;

	private final Function<M, String> senderHost;

	private final LinkSettings settings;

	private final ActorRef<LinkEvent<M>> owner;

	private final Map<String, ActorRef<LinkCommand<M>>> sessions = new HashMap<>();

	private Optional<ActorRef<Done>> drainReplyTo = Optional.empty();

	private long acceptedCount;

	private LinkListener(ActorContext<Command> context, String name, InetSocketAddress localAddress,
			FrameCodec<M> codec, Function<M, String> senderHost, LinkSettings settings, ActorRef<LinkEvent<M>> owner) {
		super(context);
		this.name = name;
		this.codec = codec;
		this.senderHost = senderHost;
		this.settings = settings;
		this.owner = owner;
		bind(localAddress);
	}

	// life cycle

	/**
	 * Creates the behavior of a listener.
	 * @param <M> type of the messages
	 * @param name names the listener in events and logs
	 * @param localAddress the address to bind
	 * @param codec encodes and decodes the messages
	 * @param senderHost extracts the sender host that a message claims
	 * @param settings the link settings
	 * @param owner receives the events of the listener and its sessions
	 * @return the behavior
	 */
	public static <M> Behavior<Command> create(String name, InetSocketAddress localAddress, FrameCodec<M> codec,
			Function<M, String> senderHost, LinkSettings settings, ActorRef<LinkEvent<M>> owner) {
		return Behaviors
			.setup((context) -> new LinkListener<>(context, name, localAddress, codec, senderHost, settings, owner));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Accepted.class, this::onAccepted)
			.onMessage(SessionEnded.class, this::onSessionEnded)
			.onMessage(Drain.class, this::onDrain)
			.onMessage(Bound.class, this::onBound)
			.onMessage(BindFailed.class, this::onBindFailed)
			.build();
	}

	private Behavior<Command> onAccepted(Accepted accepted) {
		if (this.drainReplyTo.isPresent()) {
			// The connection is closed when the listener stops.
			return this;
		}
		this.acceptedCount++;
		String sessionName = this.name + "-" + this.acceptedCount;
		ActorRef<LinkCommand<M>> session = getContext().spawn(LinkSession.create(sessionName, accepted.connection(),
				this.codec, this.senderHost, this.settings, this.owner), sessionName,
				DispatcherSelector.sameAsParent());
		this.sessions.put(sessionName, session);
		getContext().watchWith(session, new SessionEnded(sessionName));
		return this;
	}

	private Behavior<Command> onSessionEnded(SessionEnded command) {
		this.sessions.remove(command.name());
		reportIfDrained();
		return this;
	}

	private Behavior<Command> onDrain(Drain command) {
		this.drainReplyTo = Optional.of(command.replyTo());
		this.sessions.values().forEach((session) -> session.tell(new LinkCommand.Drain<>()));
		reportIfDrained();
		return this;
	}

	private Behavior<Command> onBound(Bound bound) {
		logger.atInfo().log("Listening for %s on %s.", this.name, bound.localAddress());
		this.owner.tell(new LinkEvent.Bound<>(this.name));
		return this;
	}

	private Behavior<Command> onBindFailed(BindFailed failed) {
		this.owner.tell(new LinkEvent.BindFailed<>(this.name, failed.reason()));
		return Behaviors.stopped();
	}

	// helpers

	private void reportIfDrained() {
		if (this.sessions.isEmpty()) {
			this.drainReplyTo.ifPresent((replyTo) -> replyTo.tell(Done.getInstance()));
		}
	}

	private void bind(InetSocketAddress localAddress) {
		ActorRef<Command> self = getContext().getSelf();
		Tcp.get(getContext().getSystem())
			.bind(localAddress.getHostString(), localAddress.getPort(), BACKLOG, List.of(), LinkStream.HALF_CLOSE,
					Optional.empty())
			.to(Sink.foreach((connection) -> self.tell(new Accepted(connection.flow()))))
			.addAttributes(this.settings.attributes())
			.run(Materializer.createMaterializer(getContext()))
			.whenComplete((binding, failure) -> self
				.tell((failure != null) ? new BindFailed(failure.getMessage()) : new Bound(binding.localAddress())));
	}

	/** Messages of the listener; all but {@link Drain} are internal. */
	public sealed interface Command {

	}

	/**
	 * Stops accepting links and drains the accepted ones.
	 *
	 * @param replyTo notified when all peers have read everything
	 */
	public record Drain(ActorRef<Done> replyTo) implements Command {

	}

	private record SessionEnded(String name) implements Command {

	}

	private record Accepted(Flow<ByteString, ByteString, NotUsed> connection) implements Command {

	}

	private record Bound(InetSocketAddress localAddress) implements Command {

	}

	private record BindFailed(String reason) implements Command {

	}

}
