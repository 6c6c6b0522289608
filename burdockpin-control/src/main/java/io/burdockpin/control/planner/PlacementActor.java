package io.burdockpin.control.planner;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.control.replica.ReplicaMessage;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.ClientMessage.WorkerOrders;
import io.burdockpin.core.client.ClientMessage.WorkerReports;
import io.burdockpin.core.maintenance.HostBootReport;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.placement.JobIndex;
import io.burdockpin.core.placement.PlacementDecision;
import io.burdockpin.core.placement.PlacementPlanner;
import io.burdockpin.core.placement.PlacementSettings;
import io.burdockpin.core.placement.PlacementTables;
import io.burdockpin.core.placement.ReconciliationResult;
import io.burdockpin.core.placement.WorkerReconciler;
import io.burdockpin.core.report.LiveWorker;
import io.burdockpin.core.report.WorkerReportReceiver;
import io.burdockpin.core.report.WorkerReportReceiver.ReceivedBatch;
import io.burdockpin.core.state.Command;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Runs the placement planning rounds while this member is the leader, and answers worker
 * reports. Owns the planner and its tables.
 * <p>
 * A round fetches a view from the replica, plans, and proposes the resulting commands.
 * The next round starts only after the proposals of the last one are complete, so that no
 * decision is made twice. It starts one round period later if records or reports have
 * changed, otherwise when the planner next has work due, and after one second at the
 * latest.
 */
public final class PlacementActor extends AbstractBehavior<PlacementActor.Message> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * Reports are not answered if the confirmation of the leadership was requested longer
	 * ago than this, because another member may have been elected since. Also limited to
	 * half of the margin of a lease, so that the other half is left for differences in
	 * clock rates.
	 */
	private static final long MAXIMUM_CONFIRMATION_AGE_MILLIS = 2_000;

	/** Part of the margin of a lease that the age of a confirmation may use up. */
	private static final int CONFIRMATION_AGE_DIVISOR = 2;

	/**
	 * Number of rounds in the maximum age of a confirmation, so that reports are answered
	 * without a gap. Also bounds the delay of time-dependent decisions that
	 * {@link PlacementPlanner#nextDueMillis} does not cover.
	 */
	private static final int ROUNDS_PER_CONFIRMATION_AGE = 2;

	private final TimerScheduler<Message> timers;

	private final long roundMillis;

	private final InstantSource clock;

	private final ReplicaPort replica;

	private final ActorRef<MaintenanceActor.WorkersObserved> maintenance;

	private final PlacementTables tables;

	private final PlacementPlanner planner;

	private final WorkerReconciler reconciler;

	private final WorkerReportReceiver receiver = new WorkerReportReceiver();

	private final long leaseMillis;

	private final long maximumConfirmationAgeMillis;

	private final ActorRef<ReplicaView> viewAdapter;

	private final ActorRef<ReplicaPort.ProposalsEnded> proposalAdapter;

	private final RoundGate gate = new RoundGate();

	private final List<HostBootReport> bootReports = new ArrayList<>();

	private Optional<LeaderView> leaderView = Optional.empty();

	private long roundStartedMillis;

	private long roundDueMillis = Long.MAX_VALUE;

	private PlacementActor(ActorContext<Message> context, TimerScheduler<Message> timers, PlacementSettings settings,
			Duration roundPeriod, InstantSource clock, ReplicaPort replica,
			ActorRef<MaintenanceActor.WorkersObserved> maintenance) {
		super(context);
		this.timers = timers;
		this.roundMillis = roundPeriod.toMillis();
		this.clock = clock;
		this.replica = replica;
		this.maintenance = maintenance;
		this.tables = new PlacementTables(settings);
		this.planner = new PlacementPlanner(settings, this.tables);
		this.reconciler = this.tables.createReconciler();
		this.leaseMillis = settings.leases().leaseMillis();
		this.maximumConfirmationAgeMillis = Math.min(MAXIMUM_CONFIRMATION_AGE_MILLIS,
				settings.leases().marginMillis() / CONFIRMATION_AGE_DIVISOR);
		this.viewAdapter = context.messageAdapter(ReplicaView.class, ViewArrived::new);
		this.proposalAdapter = context.messageAdapter(ReplicaPort.ProposalsEnded.class,
				(ended) -> RoundSignal.PROPOSALS_ENDED);
		this.roundStartedMillis = clock.millis();
		replica.watch(context.messageAdapter(ReplicaMessage.RecordsChanged.class, (changed) -> RoundSignal.CHANGED));
		scheduleNextRound();
	}

	// life cycle

	/**
	 * Creates the behavior.
	 * @param settings the settings of the planner
	 * @param roundPeriod minimum time between the starts of two rounds
	 * @param clock the clock that the replica of this process uses
	 * @param replica the replica of this member
	 * @param maintenance receives the observations from worker reports
	 * @return the behavior of the actor
	 */
	public static Behavior<Message> create(PlacementSettings settings, Duration roundPeriod, InstantSource clock,
			ReplicaPort replica, ActorRef<MaintenanceActor.WorkersObserved> maintenance) {
		return Behaviors.setup((context) -> Behaviors.withTimers(
				(timers) -> new PlacementActor(context, timers, settings, roundPeriod, clock, replica, maintenance)));
	}

	@Override
	public Receive<Message> createReceive() {
		return newReceiveBuilder().onMessageEquals(RoundSignal.ROUND_DUE, this::onRoundDue)
			.onMessageEquals(RoundSignal.CHANGED, this::onChanged)
			.onMessageEquals(RoundSignal.PROPOSALS_ENDED, this::onProposalsEnded)
			.onMessage(ViewArrived.class, this::onViewArrived)
			.onMessage(ReportsArrived.class, this::onReportsArrived)
			.build();
	}

	// helpers

	private Behavior<Message> onRoundDue() {
		long nowMillis = this.clock.millis();
		this.roundDueMillis = Long.MAX_VALUE;
		this.roundStartedMillis = nowMillis;
		if (this.gate.tryStart(nowMillis)) {
			this.replica.requestView(this.viewAdapter);
			scheduleRoundAt(nowMillis + this.maximumConfirmationAgeMillis / ROUNDS_PER_CONFIRMATION_AGE);
		}
		else {
			scheduleNextRound();
		}
		return this;
	}

	private Behavior<Message> onChanged() {
		scheduleNextRound();
		return this;
	}

	// A round places a limited number of jobs, so more work may be left for the next one.
	private Behavior<Message> onProposalsEnded() {
		this.gate.end();
		scheduleNextRound();
		return this;
	}

	private void scheduleNextRound() {
		scheduleRoundAt(this.roundStartedMillis + this.roundMillis);
	}

	private void scheduleRoundAt(long dueMillis) {
		if (dueMillis < this.roundDueMillis) {
			this.roundDueMillis = dueMillis;
			this.timers.startSingleTimer(RoundSignal.ROUND_DUE,
					Duration.ofMillis(Math.max(1, dueMillis - this.clock.millis())));
		}
	}

	private Behavior<Message> onViewArrived(ViewArrived arrived) {
		ReplicaView view = arrived.view();
		if (!view.leader()) {
			this.leaderView = Optional.empty();
			this.gate.end();
			return this;
		}
		long nowMillis = this.clock.millis();
		if (this.leaderView.map(LeaderView::term).filter((term) -> term == view.term()).isEmpty()) {
			this.planner.reset();
			this.receiver.reset();
			logger.atInfo().log("Started planning placements as leader of term %d.", view.term());
		}
		JobIndex jobs = JobIndex.of(view.view().jobs());
		this.leaderView = Optional.of(new LeaderView(view.term(), jobs, view.confirmedMillis()));
		PlacementDecision decision = this.planner.plan(view.view(), jobs, nowMillis);
		proposeRound(decision.commands());
		forwardObservations();
		scheduleRoundAt(Math.max(this.roundStartedMillis + this.roundMillis,
				this.planner.nextDueMillis(view.view(), nowMillis)));
		return this;
	}

	private void forwardObservations() {
		this.maintenance
			.tell(new MaintenanceActor.WorkersObserved(this.bootReports, this.tables.estimator().runTimeFactors()));
		this.bootReports.clear();
	}

	private void proposeRound(List<Command> commands) {
		if (commands.isEmpty()) {
			this.gate.end();
		}
		else {
			this.replica.propose(commands, this.proposalAdapter);
		}
	}

	private Behavior<Message> onReportsArrived(ReportsArrived arrived) {
		long nowMillis = this.clock.millis();
		this.leaderView.filter((view) -> nowMillis - view.confirmedMillis() <= this.maximumConfirmationAgeMillis)
			.ifPresentOrElse((view) -> answer(arrived, view, nowMillis), this::scheduleNextRound);
		return this;
	}

	private void answer(ReportsArrived arrived, LeaderView view, long nowMillis) {
		List<Command> commands = new ArrayList<>();
		List<WorkerOrder> orders = new ArrayList<>();
		Optional<ReceivedBatch> received = this.receiver.receive(arrived.sender(), arrived.reports(), nowMillis);
		if (received.isEmpty()) {
			return;
		}
		for (LiveWorker worker : received.get().workers()) {
			if (worker.reconciliationDue()) {
				ReconciliationResult result = reconcile(worker, view.jobs());
				commands.addAll(result.commands());
				if (worker.needsExplicitOrder(result.order())) {
					orders.add(result.order());
				}
				this.bootReports.add(new HostBootReport(worker.report().worker(), worker.report().bootId()));
			}
			else {
				this.reconciler.recordContact(worker.report(), worker.lastContactMillis());
			}
		}
		if (received.get().workers().stream().anyMatch(LiveWorker::isNewReport)) {
			scheduleNextRound();
		}
		if (!commands.isEmpty()) {
			this.replica.propose(commands, getContext().getSystem().ignoreRef());
		}
		arrived.replyTo()
			.tell(new WorkerOrders(arrived.reports().correlation(), this.leaseMillis, received.get().resend(), orders));
	}

	private ReconciliationResult reconcile(LiveWorker worker, JobIndex jobs) {
		return (worker.kind() == LiveWorker.ReportKind.NEW)
				? this.reconciler.reconcile(worker.report(), jobs, worker.lastContactMillis())
				: this.reconciler.reconcileUnchanged(worker.report(), jobs, worker.lastContactMillis());
	}

	/** Messages of the placement actor. */
	public sealed interface Message {

	}

	/**
	 * Worker reports forwarded by an entry host.
	 *
	 * @param sender the incarnation of the entry host
	 * @param reports the reports
	 * @param replyTo receives the orders; no reply is sent if this member is not the
	 * leader
	 */
	public record ReportsArrived(Holder sender, WorkerReports reports,
			ActorRef<? super ClientMessage> replyTo) implements Message {
	}

	private record ViewArrived(ReplicaView view) implements Message {
	}

	private enum RoundSignal implements Message {

		ROUND_DUE, CHANGED, PROPOSALS_ENDED

	}

	private record LeaderView(long term, JobIndex jobs, long confirmedMillis) {
	}

}
