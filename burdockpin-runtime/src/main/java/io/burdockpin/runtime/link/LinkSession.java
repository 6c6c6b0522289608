package io.burdockpin.runtime.link;

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
import org.apache.pekko.japi.Pair;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.util.ByteString;

/**
 * Actor that owns one accepted connection until it closes.
 *
 * @param <M> type of the messages
 */
final class LinkSession<M> extends AbstractBehavior<LinkCommand<M>> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** A rejected peer reconnects several times per second. */
	private static final int WARN_EVERY_SECONDS = 10;

	private final String name;

	private final FrameCodec<M> codec;

	private final Function<M, String> senderHost;

	private final ActorRef<LinkEvent<M>> owner;

	private final BoundedSourceQueue<ByteString> sendQueue;

	/** Empty until the handshake has completed. */
	private Optional<LinkPeer> peer = Optional.empty();

	private boolean draining;

	private LinkSession(ActorContext<LinkCommand<M>> context, String name,
			Flow<ByteString, ByteString, NotUsed> connection, FrameCodec<M> codec, Function<M, String> senderHost,
			LinkSettings settings, ActorRef<LinkEvent<M>> owner) {
		super(context);
		this.name = name;
		this.codec = codec;
		this.senderHost = senderHost;
		this.owner = owner;
		ActorRef<LinkCommand<M>> self = context.getSelf();
		Flow<ByteString, ByteString, NotUsed> bytes = settings.transport()
			.accept((known) -> self.tell(new LinkCommand.PeerIdentified<>(0, known)))
			.join(connection);
		Pair<BoundedSourceQueue<ByteString>, CompletionStage<Done>> stream = LinkStream.run(bytes, codec, settings,
				(message) -> self.tell(new LinkCommand.FrameArrived<>(0, message)),
				Materializer.createMaterializer(context));
		this.sendQueue = stream.first();
		stream.second()
			.whenComplete((done, failure) -> self
				.tell(new LinkCommand.ConnectionClosed<>(0, (failure != null) ? failure.getMessage() : "ended")));
	}

	static <M> Behavior<LinkCommand<M>> create(String name, Flow<ByteString, ByteString, NotUsed> connection,
			FrameCodec<M> codec, Function<M, String> senderHost, LinkSettings settings, ActorRef<LinkEvent<M>> owner) {
		return Behaviors
			.setup((context) -> new LinkSession<>(context, name, connection, codec, senderHost, settings, owner));
	}

	@Override
	@SuppressWarnings("unchecked")
	public Receive<LinkCommand<M>> createReceive() {
		return newReceiveBuilder().onMessage(LinkCommand.Send.class, (command) -> onSend((LinkCommand.Send<M>) command))
			.onMessage(LinkCommand.FrameArrived.class,
					(command) -> onFrameArrived((LinkCommand.FrameArrived<M>) command))
			.onMessage(LinkCommand.PeerIdentified.class,
					(command) -> onPeerIdentified((LinkCommand.PeerIdentified<M>) command))
			.onMessage(LinkCommand.ConnectionClosed.class,
					(command) -> onConnectionClosed((LinkCommand.ConnectionClosed<M>) command))
			.onMessage(LinkCommand.Close.class, (command) -> onClose())
			.onMessage(LinkCommand.Drain.class, (command) -> onDrain())
			.build();
	}

	private Behavior<LinkCommand<M>> onSend(LinkCommand.Send<M> command) {
		QueueOfferResult result = this.sendQueue
			.offer(ByteString.fromArrayUnsafe(this.codec.encode(command.message())));
		if (!result.isEnqueued()) {
			logger.atFine().log("Dropped a frame to %s: %s.", this.name, result);
		}
		return this;
	}

	private Behavior<LinkCommand<M>> onPeerIdentified(LinkCommand.PeerIdentified<M> command) {
		// TLS 1.3 may report the end of a handshake more than once.
		if (this.peer.isEmpty()) {
			this.peer = Optional.of(command.peer());
			this.owner.tell(new LinkEvent.Connected<>(this.name, getContext().getSelf()));
		}
		return this;
	}

	private Behavior<LinkCommand<M>> onFrameArrived(LinkCommand.FrameArrived<M> command) {
		if (this.draining) {
			return this;
		}
		String host = this.senderHost.apply(command.message());
		if (this.peer.filter((known) -> known.maySendAs(host)).isEmpty()) {
			logger.atWarning()
				.atMostEvery(WARN_EVERY_SECONDS, TimeUnit.SECONDS)
				.log("Closed %s: a message claims to be from %s, but the peer is %s.", this.name, host, this.peer);
			return onClose();
		}
		this.owner.tell(new LinkEvent.Received<>(this.name, getContext().getSelf(), command.message()));
		return this;
	}

	private Behavior<LinkCommand<M>> onConnectionClosed(LinkCommand.ConnectionClosed<M> command) {
		if (this.peer.isEmpty()) {
			logger.atWarning()
				.atMostEvery(WARN_EVERY_SECONDS, TimeUnit.SECONDS)
				.log("Refused connection %s: %s.", this.name, command.reason());
		}
		logger.atFine().log("Session %s ended: %s.", this.name, command.reason());
		return onClose();
	}

	// The stream stops with the actor, so a peer that does not close cannot continue to
	// send.
	private Behavior<LinkCommand<M>> onClose() {
		LinkStream.complete(this.sendQueue);
		this.owner.tell(new LinkEvent.Disconnected<>(this.name));
		return Behaviors.stopped();
	}

	private Behavior<LinkCommand<M>> onDrain() {
		LinkStream.complete(this.sendQueue);
		this.draining = true;
		return this;
	}

}
