package io.burdockpin.entry.worker;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.json.WorkerAnnouncementReply;
import io.burdockpin.core.admission.ConfigurationView;
import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.membership.PeerView;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.report.WorkerReportBatch;
import io.burdockpin.core.report.WorkerReportSender;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.control.ConfigurationEvent;
import io.burdockpin.entry.control.ControlCommand;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Sends the leader the changed reports of the workers that announce themselves to this
 * entry host, and returns its orders to each worker with the next announcement.
 */
public final class WorkerReportActor extends AbstractBehavior<WorkerCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long BATCH_TIMEOUT_MILLIS = 2000;

	private final EntryIdentity identity;

	private final ActorRef<ControlCommand> control;

	private final WorkerReportSender sender;

	private final Map<HostName, PendingOrders> pendingOrders = new TreeMap<>();

	private ConfigurationView configuration = ConfigurationView.EMPTY;

	private Optional<PeerView> peers = Optional.empty();

	private boolean stopping;

	private WorkerReportActor(ActorContext<WorkerCommand> context, EntryIdentity identity, long unchangedMillis,
			ActorRef<ControlCommand> control) {
		super(context);
		this.identity = identity;
		this.control = control;
		this.sender = new WorkerReportSender(unchangedMillis);
		control.tell(new ControlCommand.Subscribe(
				context.messageAdapter(ConfigurationEvent.class, WorkerCommand.ConfigurationChanged::new)));
	}

	// life cycle

	/**
	 * Creates the behavior of the actor.
	 * @param identity the identity and clock of this process
	 * @param batchMillis interval between batches to the leader
	 * @param unchangedMillis time for which an unchanged worker is left out of the
	 * batches
	 * @param control forwards calls to the leader
	 * @return the behavior
	 */
	public static Behavior<WorkerCommand> create(EntryIdentity identity, long batchMillis, long unchangedMillis,
			ActorRef<ControlCommand> control) {
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> {
			timers.startTimerWithFixedDelay(WorkerCommand.Tick.INSTANCE, Duration.ofMillis(batchMillis));
			return new WorkerReportActor(context, identity, unchangedMillis, control);
		}));
	}

	@Override
	public Receive<WorkerCommand> createReceive() {
		return newReceiveBuilder().onMessage(WorkerCommand.Announce.class, this::onAnnounce)
			.onMessage(WorkerCommand.Tick.class, (command) -> onTick())
			.onMessage(WorkerCommand.BatchEnded.class, this::onBatchEnded)
			.onMessage(WorkerCommand.ConfigurationChanged.class, this::onConfiguration)
			.onMessage(WorkerCommand.PeersChanged.class, this::onPeersChanged)
			.onMessage(WorkerCommand.BeginStop.class, (command) -> onBeginStop())
			.build();
	}

	private Behavior<WorkerCommand> onAnnounce(WorkerCommand.Announce command) {
		WorkerReport report = WorkerDocumentMapper.report(command.announcement());
		this.sender.onAnnouncement(report, this.configuration.capacity(report.worker()), this.identity.nowMillis());
		Optional<String> attachTo = this.peers.flatMap((view) -> view.attachTo(report.worker().value(), this.stopping));
		PendingOrders orders = Optional.ofNullable(this.pendingOrders.remove(report.worker()))
			.orElseGet(PendingOrders::new);
		command.replyTo().tell(reply(orders, attachTo));
		return this;
	}

	private Behavior<WorkerCommand> onTick() {
		this.sender.nextBatch(this.identity.nowMillis()).ifPresent(this::send);
		return this;
	}

	private Behavior<WorkerCommand> onBatchEnded(WorkerCommand.BatchEnded command) {
		if (command.result() instanceof CallResult.Answered answered
				&& answered.message() instanceof ClientMessage.WorkerOrders orders) {
			this.sender.onReply(command.batch(), orders);
			command.batch().expandOrders(orders).forEach(this::addPending);
		}
		else {
			logger.atFine().log("The leader did not answer a batch of worker reports. All workers are reported again.");
			this.sender.onBatchLost(command.batch());
		}
		return this;
	}

	private Behavior<WorkerCommand> onConfiguration(WorkerCommand.ConfigurationChanged command) {
		if (command.event() instanceof ConfigurationEvent.Activated inForce) {
			this.configuration = inForce.configuration();
		}
		return this;
	}

	private Behavior<WorkerCommand> onPeersChanged(WorkerCommand.PeersChanged command) {
		this.peers = Optional.of(command.view());
		return this;
	}

	private Behavior<WorkerCommand> onBeginStop() {
		this.stopping = true;
		return this;
	}

	// helpers

	private void send(WorkerReportBatch batch) {
		getContext().ask(CallResult.class, this.control, Duration.ofMillis(2 * BATCH_TIMEOUT_MILLIS),
				(ActorRef<CallResult> replyTo) -> new ControlCommand.Call(batch.message()::withCorrelation,
						BATCH_TIMEOUT_MILLIS, replyTo),
				(result, failure) -> new WorkerCommand.BatchEnded(batch,
						(failure != null) ? new CallResult.Unknown(failure.getMessage()) : result));
	}

	private void addPending(WorkerOrder order) {
		this.pendingOrders.computeIfAbsent(order.worker(), (worker) -> new PendingOrders()).add(order);
	}

	private WorkerAnnouncementReply reply(PendingOrders orders, Optional<String> attachTo) {
		return WorkerDocumentMapper.reply(this.identity.self().host(), orders, attachTo);
	}

}
