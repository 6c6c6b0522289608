package io.burdockpin.batch;

import java.time.Clock;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.batch.call.LeaderClient;
import io.burdockpin.batch.call.LeaderClientCommand;
import io.burdockpin.batch.port.FrontEnd;
import io.burdockpin.runtime.event.EventLog;
import io.burdockpin.runtime.event.EventPrinter;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.GuardianCommand;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Root actor of an entry host of the batch scheduler. Starts the client that sends calls
 * to the leader, and the front end.
 */
public final class BatchEntryGuardian extends AbstractBehavior<GuardianCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The rest of the grace period is reserved for the exit of the process itself. */
	private static final double GRACE_SHARE = 0.9;

	/**
	 * The load balancer checks readiness every second and routes callers to other hosts
	 * after two failed checks.
	 */
	private static final Duration DRAIN_DELAY = Duration.ofMillis(2_800);

	/** Leaves the rest of the grace period to pending calls. */
	private static final double DRAIN_DELAY_SHARE = 0.5;

	private final BatchSettings settings;

	private final TimerScheduler<GuardianCommand> timers;

	private final CompletableFuture<ExitStatus> exit;

	private final SettingsReloader reloader;

	private final ActorRef<LeaderClientCommand> leader;

	private final ActorRef<FrontEnd.Command> frontEnd;

	private BatchEntryGuardian(ActorContext<GuardianCommand> context, TimerScheduler<GuardianCommand> timers,
			BatchSettings settings, SettingsReloader reloader, FrontEnd.Factory frontEnds, Clock clock,
			CompletableFuture<ExitStatus> exit) {
		super(context);
		this.settings = settings;
		this.reloader = reloader;
		this.timers = timers;
		this.exit = exit;
		ActorRef<EventLog.Command> eventLog = context
			.spawn(EventLogFactory.create("burdock-batch-entry", settings, clock), "events", EventPrinter.MAILBOX);
		this.leader = context.spawn(LeaderClient.create(settings.toCallSettings(), Optional.empty(), eventLog, clock),
				"leader-client", DispatcherSelector.fromConfig(BatchDispatchers.CALLS));
		this.frontEnd = context.spawn(
				frontEnds.create(this.leader, context.messageAdapter(FrontEnd.Report.class, FrontEndReport::new)),
				"front-end");
	}

	/**
	 * Creates the behavior.
	 * @param settings settings as read at the start of the process
	 * @param settingsSource rereads the settings
	 * @param frontEnds creates the front end
	 * @param clock a clock that follows the monotonic clock
	 * @param exit completed with the exit status if the program must end because of a
	 * failure
	 * @return the behavior of the root actor
	 */
	public static Behavior<GuardianCommand> create(BatchSettings settings, Supplier<BatchSettings> settingsSource,
			FrontEnd.Factory frontEnds, Clock clock, CompletableFuture<ExitStatus> exit) {
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> new BatchEntryGuardian(context, timers,
				settings, new SettingsReloader(settingsSource), frontEnds, clock, exit)));
	}

	@Override
	public Receive<GuardianCommand> createReceive() {
		return newReceiveBuilder().onMessage(FrontEndReport.class, this::onFrontEndReport)
			.onMessageEquals(GuardianCommand.Stop.INSTANCE, this::onStop)
			.onMessageEquals(GuardianCommand.Reload.INSTANCE, this::onReload)
			.onMessageEquals(Ended.INSTANCE, Behaviors::stopped)
			.build();
	}

	private Behavior<GuardianCommand> onFrontEndReport(FrontEndReport command) {
		if (command.report() instanceof FrontEnd.Failed) {
			this.exit.complete(ExitStatus.ADDRESS_UNAVAILABLE);
			return Behaviors.stopped();
		}
		return this;
	}

	private Behavior<GuardianCommand> onReload() {
		this.reloader.reload(this.leader);
		return this;
	}

	private Behavior<GuardianCommand> onStop() {
		logger.atInfo().log("Stopping.");
		ActorRef<Done> done = getContext().messageAdapter(Done.class, (stopped) -> Ended.INSTANCE);
		this.frontEnd.tell(new FrontEnd.Stop(drainDelay(), done));
		this.timers.startSingleTimer(Ended.INSTANCE,
				Duration.ofMillis((long) (GRACE_SHARE * 1_000 * this.settings.graceSeconds())));
		return this;
	}

	private Duration drainDelay() {
		Duration maximum = Duration.ofMillis((long) (DRAIN_DELAY_SHARE * 1_000 * this.settings.graceSeconds()));
		return (maximum.compareTo(DRAIN_DELAY) < 0) ? maximum : DRAIN_DELAY;
	}

	private record FrontEndReport(FrontEnd.Report report) implements GuardianCommand {

	}

	private enum Ended implements GuardianCommand {

		INSTANCE

	}

}
