package io.burdockpin.entry.worker;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.json.WorkerAnnouncementReply;
import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.membership.PeerView;
import io.burdockpin.core.model.HostName;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.control.ControlCommand;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Batches the reports of the workers that announce themselves here, and hands the
 * leader's orders back with the next announcement.
 */
public final class WorkerSessions extends AbstractBehavior<WorkerCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long BATCH_TIMEOUT_MILLIS = 2000;

	private final EntryIdentity identity;

	private final ActorRef<ControlCommand> control;

	private final ActorRef<CallResult> batchResults;

	private final Map<HostName, WorkerReport> unsentReports = new TreeMap<>();

	private final Map<HostName, PendingOrders> pendingOrders = new TreeMap<>();

	private Optional<PeerView> peers = Optional.empty();

	private boolean stopping;

	private WorkerSessions(ActorContext<WorkerCommand> context, EntryIdentity identity,
			ActorRef<ControlCommand> control) {
		super(context);
		this.identity = identity;
		this.control = control;
		this.batchResults = context.messageAdapter(CallResult.class, WorkerCommand.BatchEnded::new);
	}

	// life cycle

	/**
	 * Creates the behavior of the sessions.
	 * @param identity the own process
	 * @param batchMillis period of the reports to the leader
	 * @param control calls the leader
	 * @return the behavior
	 */
	public static Behavior<WorkerCommand> create(EntryIdentity identity, long batchMillis,
			ActorRef<ControlCommand> control) {
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> {
			timers.startTimerWithFixedDelay(WorkerCommand.Tick.INSTANCE, Duration.ofMillis(batchMillis));
			return new WorkerSessions(context, identity, control);
		}));
	}

	@Override
	public Receive<WorkerCommand> createReceive() {
		return newReceiveBuilder().onMessage(WorkerCommand.Announce.class, this::onAnnounce)
			.onMessage(WorkerCommand.Tick.class, (command) -> onTick())
			.onMessage(WorkerCommand.BatchEnded.class, this::onBatchEnded)
			.onMessage(WorkerCommand.PeersChanged.class, this::onPeersChanged)
			.onMessage(WorkerCommand.BeginStop.class, (command) -> onBeginStop())
			.build();
	}

	private Behavior<WorkerCommand> onAnnounce(WorkerCommand.Announce command) {
		WorkerReport report = WorkerDocuments.report(command.announcement());
		this.unsentReports.put(report.worker(), report);
		Optional<String> attachTo = this.peers.flatMap((view) -> view.attachTo(report.worker().value(), this.stopping));
		PendingOrders orders = Optional.ofNullable(this.pendingOrders.remove(report.worker()))
			.orElseGet(PendingOrders::new);
		command.replyTo().tell(reply(orders, attachTo));
		return this;
	}

	private Behavior<WorkerCommand> onTick() {
		if (!this.unsentReports.isEmpty()) {
			List<WorkerReport> reports = List.copyOf(this.unsentReports.values());
			this.unsentReports.clear();
			this.control
				.tell(new ControlCommand.Call((correlation) -> new ClientMessage.WorkerReports(correlation, reports),
						BATCH_TIMEOUT_MILLIS, this.batchResults));
		}
		return this;
	}

	private Behavior<WorkerCommand> onBatchEnded(WorkerCommand.BatchEnded command) {
		if (command.result() instanceof CallResult.Answered answered
				&& answered.message() instanceof ClientMessage.WorkerOrders orders) {
			orders.orders().forEach(this::keep);
		}
		else {
			logger.atFine().log("A batch of worker reports was not answered. The workers report again.");
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

	private void keep(WorkerOrder order) {
		this.pendingOrders.computeIfAbsent(order.worker(), (worker) -> new PendingOrders()).add(order);
	}

	private WorkerAnnouncementReply reply(PendingOrders orders, Optional<String> attachTo) {
		return WorkerDocuments.reply(this.identity.self().host(), orders, attachTo);
	}

}
