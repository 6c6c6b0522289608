package io.burdockpin.batch.call;

import java.net.InetSocketAddress;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.batch.scheduler.SchedulerCommand;
import io.burdockpin.codec.cbor.CborCallCodec;
import io.burdockpin.core.batch.call.CallMessage;
import io.burdockpin.runtime.link.LinkCommand;
import io.burdockpin.runtime.link.LinkEvent;
import io.burdockpin.runtime.link.LinkListener;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/** Owns the listener for calls from other processes and passes them to the scheduler. */
public final class CallListener extends AbstractBehavior<LinkEvent<CallMessage>> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Any process of the fleet may call; the messages do not identify the sender. */
	private static final String ANY_HOST = "caller";

	private final ActorRef<SchedulerCommand> scheduler;

	private final ActorRef<Failed> owner;

	private CallListener(ActorContext<LinkEvent<CallMessage>> context, CallSettings settings,
			ActorRef<SchedulerCommand> scheduler, ActorRef<Failed> owner) {
		super(context);
		this.scheduler = scheduler;
		this.owner = owner;
		context.spawn(
				LinkListener.create("call", new InetSocketAddress(settings.host(), settings.callPort()),
						new CborCallCodec(), (message) -> ANY_HOST, settings.links(), context.getSelf()),
				"listener", DispatcherSelector.sameAsParent());
	}

	/**
	 * Creates the behavior.
	 * @param settings the host and port to listen on, and the settings of the links
	 * @param scheduler answers the calls
	 * @param owner notified when the address cannot be bound
	 * @return the behavior of the listener
	 */
	public static Behavior<LinkEvent<CallMessage>> create(CallSettings settings, ActorRef<SchedulerCommand> scheduler,
			ActorRef<Failed> owner) {
		return Behaviors.setup((context) -> new CallListener(context, settings, scheduler, owner));
	}

	@Override
	@SuppressWarnings("unchecked")
	public Receive<LinkEvent<CallMessage>> createReceive() {
		return newReceiveBuilder()
			.onMessage(LinkEvent.Received.class, (event) -> onReceived((LinkEvent.Received<CallMessage>) event))
			.onMessage(LinkEvent.Connected.class, (event) -> onConnected())
			.onMessage(LinkEvent.BindFailed.class, (event) -> onBindFailed((LinkEvent.BindFailed<CallMessage>) event))
			.onAnyMessage((event) -> this)
			.build();
	}

	private Behavior<LinkEvent<CallMessage>> onReceived(LinkEvent.Received<CallMessage> event) {
		if (event.message() instanceof CallMessage.Call call) {
			ActorRef<LinkCommand<CallMessage>> session = event.session();
			this.scheduler.tell(new SchedulerCommand.Call(call.call(),
					(reply) -> session.tell(new LinkCommand.Send<>(new CallMessage.Reply(call.correlation(), reply)))));
		}
		return this;
	}

	private Behavior<LinkEvent<CallMessage>> onConnected() {
		this.scheduler.tell(SchedulerCommand.Internal.CALLER_CONNECTED);
		return this;
	}

	private Behavior<LinkEvent<CallMessage>> onBindFailed(LinkEvent.BindFailed<CallMessage> event) {
		logger.atSevere().log("Failed to listen for calls: %s.", event.reason());
		this.owner.tell(new Failed(event.reason()));
		return this;
	}

	/**
	 * The listener failed to bind its address.
	 *
	 * @param reason the error message
	 */
	public record Failed(String reason) {

	}

}
