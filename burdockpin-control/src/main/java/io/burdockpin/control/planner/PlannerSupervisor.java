package io.burdockpin.control.planner;

import java.time.Duration;
import java.time.InstantSource;

import io.burdockpin.control.link.PlannerReport;
import io.burdockpin.control.replica.ReplicaMessage;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.runtime.event.EventLog;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.SupervisorStrategy;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Supervises the planners and forwards the reports of entry hosts to them. A planner that
 * throws an exception is restarted with back-off and rebuilds its tables from views and
 * reports, as a new leader does.
 */
public final class PlannerSupervisor extends AbstractBehavior<PlannerReport> {

	private static final Duration RESTART_MINIMUM = Duration.ofMillis(200);

	private static final Duration RESTART_MAXIMUM = Duration.ofSeconds(10);

	private static final double RESTART_JITTER = 0.2;

	private final ActorRef<PlacementActor.Message> placement;

	private final ActorRef<TokenPlannerActor.Message> tokens;

	private PlannerSupervisor(ActorContext<PlannerReport> context, PlannerSettings settings, InstantSource clock,
			ActorRef<ReplicaMessage> replica, ActorRef<EventLog.Command> eventLog) {
		super(context);
		ReplicaPort port = ReplicaGateway.portTo(context.spawn(ReplicaGateway.create(replica), "replica-gateway"));
		ActorRef<MaintenanceActor.Message> maintenance = context.spawn(restarting(
				MaintenanceActor.create(settings.maintenance(), settings.maintenancePeriod(), clock, port, eventLog)),
				"maintenance");
		this.placement = context.spawn(restarting(PlacementActor.create(settings.placement(),
				settings.placementPeriod(), clock, port, maintenance.narrow())), "placement");
		this.tokens = context.spawn(
				restarting(TokenPlannerActor.create(settings.tokens(), settings.tokenPeriod(), clock, replica)),
				"tokens");
	}

	// life cycle

	/**
	 * Creates the behavior.
	 * @param settings the settings of the planners
	 * @param clock the clock that the replica of this process uses
	 * @param replica the replica of this member
	 * @param eventLog receives the announcements of drains
	 * @return the behavior of the supervisor
	 */
	public static Behavior<PlannerReport> create(PlannerSettings settings, InstantSource clock,
			ActorRef<ReplicaMessage> replica, ActorRef<EventLog.Command> eventLog) {
		return Behaviors.setup((context) -> new PlannerSupervisor(context, settings, clock, replica, eventLog));
	}

	@Override
	public Receive<PlannerReport> createReceive() {
		return newReceiveBuilder().onMessage(PlannerReport.class, this::onReport).build();
	}

	// helpers

	private Behavior<PlannerReport> onReport(PlannerReport report) {
		if (report.message() instanceof ClientMessage.WorkerReports reports) {
			this.placement.tell(new PlacementActor.ReportsArrived(report.sender(), reports, report.replyTo()));
		}
		else if (report.message() instanceof ClientMessage.TokenReport tokenReport) {
			this.tokens.tell(new TokenPlannerActor.ReportArrived(tokenReport, report.replyTo()));
		}
		return this;
	}

	private static <M> Behavior<M> restarting(Behavior<M> behavior) {
		return Behaviors.supervise(behavior)
			.onFailure(RuntimeException.class,
					SupervisorStrategy.restartWithBackoff(RESTART_MINIMUM, RESTART_MAXIMUM, RESTART_JITTER));
	}

}
