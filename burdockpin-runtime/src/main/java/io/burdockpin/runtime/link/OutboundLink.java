package io.burdockpin.runtime.link;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.io.FrameCodec;
import org.apache.pekko.Done;
import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Tcp;
import org.apache.pekko.util.ByteString;

/**
 * Actor that owns one outgoing connection and reconnects whenever it is lost. Messages
 * are sent in order within one connection.
 *
 * @param <M> type of the messages
 */
public final class OutboundLink<M> extends AbstractBehavior<LinkCommand<M>> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int WARN_EVERY_SECONDS = 10;

	private final String name;

	private final String peerHost;

	private final InetSocketAddress remoteAddress;

	private final FrameCodec<M> codec;

	private final Function<M, String> senderHost;

	private final LinkSettings settings;

	private final ActorRef<LinkEvent<M>> owner;

	private final TimerScheduler<LinkCommand<M>> timers;

	private final Materializer materializer;

	private Optional<BoundedSourceQueue<ByteString>> sendQueue = Optional.empty();

	private boolean tcpConnected;

	private Optional<LinkPeer> peer = Optional.empty();

	private boolean open;

	private boolean draining;

	private long generation;

	/** Failed connection attempts since the last open connection. */
	private int failedAttempts;

	private OutboundLink(ActorContext<LinkCommand<M>> context, TimerScheduler<LinkCommand<M>> timers, String name,
			String peerHost, InetSocketAddress remoteAddress, FrameCodec<M> codec, Function<M, String> senderHost,
			LinkSettings settings, ActorRef<LinkEvent<M>> owner) {
		super(context);
		this.timers = timers;
		this.name = name;
		this.peerHost = peerHost;
		this.remoteAddress = remoteAddress;
		this.codec = codec;
		this.senderHost = senderHost;
		this.settings = settings;
		this.owner = owner;
		this.materializer = Materializer.createMaterializer(context);
		connect();
	}

	// life cycle

	/**
	 * Creates the behavior of a link.
	 * @param <M> type of the messages
	 * @param name names the link in events and logs
	 * @param peerHost the host that the link connects to; with TLS, its certificate must
	 * name it
	 * @param remoteAddress where to connect
	 * @param codec encodes and decodes the messages
	 * @param senderHost extracts the sender host that a message claims
	 * @param settings the link settings
	 * @param owner receives the events of the link
	 * @return the behavior
	 */
	public static <M> Behavior<LinkCommand<M>> create(String name, String peerHost, InetSocketAddress remoteAddress,
			FrameCodec<M> codec, Function<M, String> senderHost, LinkSettings settings, ActorRef<LinkEvent<M>> owner) {
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> new OutboundLink<>(context, timers, name,
				peerHost, remoteAddress, codec, senderHost, settings, owner)));
	}

	@Override
	@SuppressWarnings("unchecked")
	public Receive<LinkCommand<M>> createReceive() {
		return newReceiveBuilder().onMessage(LinkCommand.Send.class, (command) -> onSend((LinkCommand.Send<M>) command))
			.onMessage(LinkCommand.FrameArrived.class,
					(command) -> onFrameArrived((LinkCommand.FrameArrived<M>) command))
			.onMessage(LinkCommand.ConnectionOpened.class,
					(command) -> onConnectionOpened((LinkCommand.ConnectionOpened<M>) command))
			.onMessage(LinkCommand.PeerIdentified.class,
					(command) -> onPeerIdentified((LinkCommand.PeerIdentified<M>) command))
			.onMessage(LinkCommand.ConnectionClosed.class,
					(command) -> onConnectionClosed((LinkCommand.ConnectionClosed<M>) command))
			.onMessage(LinkCommand.Reconnect.class, (command) -> onReconnect())
			.onMessage(LinkCommand.Close.class, (command) -> onClose())
			.onMessage(LinkCommand.Drain.class, (command) -> onDrain())
			.build();
	}

	private Behavior<LinkCommand<M>> onSend(LinkCommand.Send<M> command) {
		if (this.open && this.sendQueue.isPresent()) {
			QueueOfferResult result = this.sendQueue.get()
				.offer(ByteString.fromArrayUnsafe(this.codec.encode(command.message())));
			if (!result.isEnqueued()) {
				logger.atFine().log("Dropped a frame to %s: %s.", this.name, result);
			}
		}
		return this;
	}

	private Behavior<LinkCommand<M>> onFrameArrived(LinkCommand.FrameArrived<M> command) {
		if (command.generation() != this.generation || this.draining) {
			return this;
		}
		String host = this.senderHost.apply(command.message());
		if (this.peer.filter((known) -> known.maySendAs(host)).isPresent()) {
			this.owner.tell(new LinkEvent.Received<>(this.name, getContext().getSelf(), command.message()));
		}
		else {
			logger.atWarning()
				.atMostEvery(WARN_EVERY_SECONDS, TimeUnit.SECONDS)
				.log("Dropped a message on %s: it claims to be from %s, but the peer is %s.", this.name, host,
						this.peer);
		}
		return this;
	}

	private Behavior<LinkCommand<M>> onConnectionOpened(LinkCommand.ConnectionOpened<M> command) {
		if (command.generation() == this.generation) {
			this.tcpConnected = true;
			openWhenReady();
		}
		return this;
	}

	private Behavior<LinkCommand<M>> onPeerIdentified(LinkCommand.PeerIdentified<M> command) {
		// TLS 1.3 reports the end of a handshake again with each session ticket.
		if (command.generation() == this.generation && this.peer.isEmpty()) {
			this.peer = Optional.of(command.peer());
			openWhenReady();
		}
		return this;
	}

	private void openWhenReady() {
		if (this.tcpConnected && this.peer.isPresent() && this.sendQueue.isPresent()) {
			this.open = true;
			this.failedAttempts = 0;
			logger.atInfo().log("Connected to %s at %s.", this.name, this.remoteAddress);
			this.owner.tell(new LinkEvent.Connected<>(this.name, getContext().getSelf()));
		}
	}

	private Behavior<LinkCommand<M>> onConnectionClosed(LinkCommand.ConnectionClosed<M> command) {
		if (command.generation() != this.generation) {
			return this;
		}
		// With half-close, the sending side stays open when the peer closes its side.
		this.sendQueue.ifPresent(LinkStream::complete);
		if (this.draining) {
			return stopDisconnected();
		}
		if (this.open) {
			this.open = false;
			logger.atInfo().log("Lost the connection to %s: %s.", this.name, command.reason());
			this.owner.tell(new LinkEvent.Disconnected<>(this.name));
		}
		else {
			logger.atFine().log("Cannot connect to %s: %s.", this.name, command.reason());
		}
		this.sendQueue = Optional.empty();
		this.timers.startSingleTimer(new LinkCommand.Reconnect<>(),
				Duration.ofMillis(this.settings.reconnectDelayMillis(this.failedAttempts)));
		this.failedAttempts++;
		return this;
	}

	private Behavior<LinkCommand<M>> onReconnect() {
		connect();
		return this;
	}

	private Behavior<LinkCommand<M>> onClose() {
		this.sendQueue.ifPresent(LinkStream::complete);
		return Behaviors.stopped();
	}

	private Behavior<LinkCommand<M>> onDrain() {
		this.sendQueue.ifPresent(LinkStream::complete);
		this.draining = true;
		return this.open ? this : stopDisconnected();
	}

	private Behavior<LinkCommand<M>> stopDisconnected() {
		this.owner.tell(new LinkEvent.Disconnected<>(this.name));
		return Behaviors.stopped();
	}

	// helpers

	private void connect() {
		this.generation++;
		this.tcpConnected = false;
		this.peer = Optional.empty();
		long current = this.generation;
		ActorRef<LinkCommand<M>> self = getContext().getSelf();
		Flow<ByteString, ByteString, NotUsed> connection = Tcp.get(getContext().getSystem())
			.outgoingConnection(this.remoteAddress, Optional.empty(), List.of(), LinkStream.HALF_CLOSE,
					Optional.of(Duration.ofMillis(this.settings.connectTimeoutMillis())), Optional.empty())
			.mapMaterializedValue((opened) -> {
				reportOpened(opened, self, current);
				return NotUsed.getInstance();
			});
		Pair<BoundedSourceQueue<ByteString>, CompletionStage<Done>> stream = LinkStream.run(
				this.settings.transport()
					.connect(this.peerHost, (known) -> self.tell(new LinkCommand.PeerIdentified<>(current, known)))
					.join(connection),
				this.codec, this.settings, (message) -> self.tell(new LinkCommand.FrameArrived<>(current, message)),
				this.materializer);
		this.sendQueue = Optional.of(stream.first());
		stream.second()
			.whenComplete((done, failure) -> self
				.tell(new LinkCommand.ConnectionClosed<>(current, (failure != null) ? failure.getMessage() : "ended")));
	}

	private static <M> void reportOpened(CompletionStage<Tcp.OutgoingConnection> opened, ActorRef<LinkCommand<M>> self,
			long generation) {
		opened.whenComplete((connection, failure) -> {
			if (failure == null) {
				self.tell(new LinkCommand.ConnectionOpened<>(generation));
			}
		});
	}

}
