package io.burdockpin.control.planner;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.event.HybridClock;
import io.burdockpin.core.maintenance.DrainNotice;
import io.burdockpin.core.maintenance.HostBootReport;
import io.burdockpin.core.maintenance.MaintenanceDecision;
import io.burdockpin.core.maintenance.MaintenancePlanner;
import io.burdockpin.core.maintenance.MaintenanceSettings;
import io.burdockpin.core.maintenance.SparePlanner;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.placement.JobIndex;
import io.burdockpin.core.placement.RemainingTimeEstimator;
import io.burdockpin.core.state.Command;
import io.burdockpin.runtime.event.EventLog;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Runs the maintenance planning rounds while this member is the leader. Owns the planners
 * of campaigns and spare hosts.
 */
public final class MaintenanceActor extends AbstractBehavior<MaintenanceActor.Message> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final long NO_TERM = -1;

	private final InstantSource clock;

	private final ReplicaPort replica;

	private final ActorRef<EventLog.Command> eventLog;

	private final HybridClock hybridClock = new HybridClock();

	private final MaintenancePlanner planner;

	private final SparePlanner sparePlanner;

	private final ActorRef<ReplicaView> viewAdapter;

	private final ActorRef<ReplicaPort.ProposalsEnded> proposalAdapter;

	private final RoundGate gate = new RoundGate();

	private RemainingTimeEstimator remainingTime = RemainingTimeEstimator.fromDeclarations();

	private long plannedTerm = NO_TERM;

	private MaintenanceActor(ActorContext<Message> context, TimerScheduler<Message> timers,
			MaintenanceSettings settings, Duration roundPeriod, InstantSource clock, ReplicaPort replica,
			ActorRef<EventLog.Command> eventLog) {
		super(context);
		this.clock = clock;
		this.replica = replica;
		this.eventLog = eventLog;
		this.planner = new MaintenancePlanner(settings);
		this.sparePlanner = new SparePlanner(settings);
		this.viewAdapter = context.messageAdapter(ReplicaView.class, ViewArrived::new);
		this.proposalAdapter = context.messageAdapter(ReplicaPort.ProposalsEnded.class,
				(ended) -> RoundSignal.PROPOSALS_ENDED);
		timers.startTimerWithFixedDelay(RoundSignal.ROUND_DUE, roundPeriod);
	}

	// life cycle

	/**
	 * Creates the behavior.
	 * @param settings the settings of the planners
	 * @param roundPeriod time between two rounds
	 * @param clock wall clock of this process
	 * @param replica the replica of this member
	 * @param eventLog receives the announcements of drains
	 * @return the behavior of the actor
	 */
	public static Behavior<Message> create(MaintenanceSettings settings, Duration roundPeriod, InstantSource clock,
			ReplicaPort replica, ActorRef<EventLog.Command> eventLog) {
		return Behaviors.setup((context) -> Behaviors.withTimers(
				(timers) -> new MaintenanceActor(context, timers, settings, roundPeriod, clock, replica, eventLog)));
	}

	@Override
	public Receive<Message> createReceive() {
		return newReceiveBuilder().onMessageEquals(RoundSignal.ROUND_DUE, this::onRoundDue)
			.onMessageEquals(RoundSignal.PROPOSALS_ENDED, this::onProposalsEnded)
			.onMessage(ViewArrived.class, this::onViewArrived)
			.onMessage(WorkersObserved.class, this::onWorkersObserved)
			.build();
	}

	// helpers

	private Behavior<Message> onRoundDue() {
		if (this.gate.tryStart(this.clock.millis())) {
			this.replica.requestView(this.viewAdapter);
		}
		return this;
	}

	private Behavior<Message> onProposalsEnded() {
		this.gate.end();
		return this;
	}

	private Behavior<Message> onWorkersObserved(WorkersObserved observed) {
		observed.bootReports().forEach(this.planner::observe);
		this.remainingTime = observed.remainingTime();
		return this;
	}

	private Behavior<Message> onViewArrived(ViewArrived arrived) {
		ReplicaView view = arrived.view();
		if (!view.leader()) {
			this.plannedTerm = NO_TERM;
			this.gate.end();
			return this;
		}
		if (this.plannedTerm != view.term()) {
			this.plannedTerm = view.term();
			this.planner.reset();
			this.sparePlanner.reset();
			logger.atInfo().log("Started planning maintenance as leader of term %d.", view.term());
		}
		plan(view);
		return this;
	}

	private void plan(ReplicaView view) {
		long nowMillis = this.clock.millis();
		JobIndex jobs = JobIndex.of(view.view().jobs());
		MaintenanceDecision decision = this.planner.plan(view.view(), jobs, this.remainingTime, nowMillis);
		decision.drainNotices().forEach(this::announce);
		List<Command> commands = new ArrayList<>(decision.commands());
		commands.addAll(this.sparePlanner.plan(view.view(), jobs, nowMillis));
		if (commands.isEmpty()) {
			this.gate.end();
		}
		else {
			this.replica.propose(commands, this.proposalAdapter);
		}
	}

	private void announce(DrainNotice notice) {
		logger.atInfo()
			.log("Draining host %s for campaign %s; jobs %s will be moved and jobs %s interrupted.", notice.host(),
					notice.campaign(), notice.movedJobs(), notice.interruptedJobs());
		this.eventLog
			.tell(new EventLog.Append(Event.of(EventKind.DRAIN_ANNOUNCED, this.hybridClock.tick(this.clock.millis()))
				.with(EventField.CAMPAIGN, notice.campaign())
				.with(EventField.HOST, notice.host())
				.with(EventField.JOBS,
						Stream.concat(notice.movedJobs().stream(), notice.interruptedJobs().stream())
							.map(JobId::value)
							.collect(Collectors.joining(" ")))
				.with(EventField.DETAIL, "deadline " + Instant.ofEpochMilli(notice.drainDeadlineMillis()))));
	}

	/** Messages of the maintenance actor. */
	public sealed interface Message {

	}

	/**
	 * Observations of the placement actor from worker reports.
	 *
	 * @param bootReports boot IDs of the hosts that reported since the last message
	 * @param remainingTime estimator of the remaining run time of jobs; immutable
	 */
	public record WorkersObserved(List<HostBootReport> bootReports,
			RemainingTimeEstimator remainingTime) implements Message {

		public WorkersObserved {
			bootReports = List.copyOf(bootReports);
		}

	}

	private record ViewArrived(ReplicaView view) implements Message {
	}

	private enum RoundSignal implements Message {

		ROUND_DUE, PROPOSALS_ENDED

	}

}
