package io.burdockpin.testbench.runner;

import java.time.Duration;
import java.time.InstantSource;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.testbench.program.LineFile;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/**
 * Owns the slots of the runner, runs requests as timers and has the announcer tell the
 * entry host about them.
 */
final class RunnerActor extends AbstractBehavior<RunnerActor.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final int MAX_DEADLINE_MILLIS = 60_000;

	private final TimerScheduler<Command> timers;

	private final RunnerSettings settings;

	private final ActorRef<RunnerAnnouncer.Command> announcer;

	private final ActorRef<LineFile.Append> startedFile;

	private final ActorRef<Drained> guardian;

	private final InstantSource clock;

	private final SlotTable slots;

	private RunnerBehaviour behaviour;

	private boolean leaving;

	private boolean leavingConfirmed;

	private RunnerActor(ActorContext<Command> context, TimerScheduler<Command> timers, RunnerSettings settings,
			ActorRef<RunnerAnnouncer.Command> announcer, ActorRef<LineFile.Append> startedFile,
			ActorRef<Drained> guardian, InstantSource clock) {
		super(context);
		this.timers = timers;
		this.settings = settings;
		this.announcer = announcer;
		this.startedFile = startedFile;
		this.guardian = guardian;
		this.clock = clock;
		this.slots = new SlotTable(settings.slots(), settings.connections());
		this.behaviour = settings.behaviour();
		timers.startTimerWithFixedDelay(Announce.INSTANCE, Duration.ZERO, Duration.ofMillis(settings.announceMillis()));
	}

	// life cycle

	static Behavior<Command> create(RunnerSettings settings, ActorRef<RunnerAnnouncer.Command> announcer,
			ActorRef<LineFile.Append> startedFile, ActorRef<Drained> guardian, InstantSource clock) {
		return Behaviors.setup((context) -> Behaviors.withTimers(
				(timers) -> new RunnerActor(context, timers, settings, announcer, startedFile, guardian, clock)));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Run.class, this::onRun)
			.onMessage(Ended.class, this::onEnded)
			.onMessage(Connect.class, this::onConnect)
			.onMessage(Disconnect.class, (command) -> onDisconnect())
			.onMessage(SetBehaviour.class, this::onSetBehaviour)
			.onMessage(GetCounts.class, this::onGetCounts)
			.onMessage(Announce.class, (command) -> onAnnounce())
			.onMessage(Leave.class, (command) -> onLeave())
			.onMessage(LeavingConfirmed.class, (command) -> onLeavingConfirmed())
			.build();
	}

	private Behavior<Command> onRun(Run run) {
		if (this.leaving || !this.behaviour.starts()) {
			this.slots.refuse(this.leavingConfirmed);
			run.replyTo().tell(refusal(run.request(), "the stand-in runner takes no new work"));
		}
		else if (isTooLate(run.request())) {
			this.slots.refuse(false);
			run.replyTo().tell(refusal(run.request(), "the request arrived after its deadline"));
		}
		else if (!this.slots.start(run.request().requestId())) {
			run.replyTo().tell(refusal(run.request(), "all slots are in use"));
		}
		else {
			start(run);
		}
		return this;
	}

	private Behavior<Command> onEnded(Ended ended) {
		this.slots.end();
		RunRequest request = ended.run().request();
		if (ended.atDeadline()) {
			ended.run().replyTo().tell(deadlinePassed(request));
		}
		else {
			this.behaviour.answer(request, this.slots.counts().ended()).ifPresent(ended.run().replyTo()::tell);
		}
		return this;
	}

	private Behavior<Command> onConnect(Connect connect) {
		connect.replyTo().tell(this.slots.connect());
		return this;
	}

	private Behavior<Command> onDisconnect() {
		this.slots.disconnect();
		return this;
	}

	private Behavior<Command> onSetBehaviour(SetBehaviour command) {
		logger.atInfo().log("Behaviour is now %s.", command.behaviour());
		this.behaviour = command.behaviour();
		return this;
	}

	private Behavior<Command> onGetCounts(GetCounts command) {
		command.replyTo().tell(this.slots.counts());
		return this;
	}

	private Behavior<Command> onAnnounce() {
		this.announcer.tell(new RunnerAnnouncer.Announce(this.slots.running(), this.leaving));
		return stopIfDrained();
	}

	private Behavior<Command> onLeave() {
		logger.atInfo().log("Leaving with %d requests in flight.", this.slots.running());
		this.leaving = true;
		this.timers.startSingleTimer(LeavingConfirmed.INSTANCE, LeavingConfirmed.INSTANCE,
				Duration.ofMillis(this.settings.attachmentMillis()));
		return onAnnounce();
	}

	private Behavior<Command> onLeavingConfirmed() {
		this.leavingConfirmed = this.leaving;
		return this;
	}

	// helpers

	private boolean isTooLate(RunRequest request) {
		return request.ownDeadlineMillis().isPresent()
				&& request.ownDeadlineMillis().getAsLong() <= this.clock.millis();
	}

	private void start(Run run) {
		RunRequest request = run.request();
		long workMillis = this.behaviour.runMillis(request, this.settings.serviceMillis());
		boolean atDeadline = this.behaviour.stopsAtDeadline() && workMillis > request.deadlineMillis();
		long runMillis = Math.min(atDeadline ? request.deadlineMillis() : workMillis, MAX_DEADLINE_MILLIS);
		this.startedFile.tell(new LineFile.Append("%d %s %s %s %d".formatted(System.currentTimeMillis(),
				request.requestId(), request.attempt(), this.settings.name(), runMillis)));
		this.timers.startSingleTimer(new Ended(run, atDeadline), Duration.ofMillis(runMillis));
	}

	// Runs at the announcement after the confirmed one: a request that was on its way
	// when
	// the entry host heard of the leaving still gets its refusal.
	private Behavior<Command> stopIfDrained() {
		if (this.leavingConfirmed && this.slots.running() == 0) {
			this.leavingConfirmed = false;
			this.guardian.tell(new Drained());
		}
		return this;
	}

	private static HttpResponse refusal(RunRequest request, String reason) {
		return HttpResponse.create()
			.withStatus(503)
			.addHeader(RawHeader.create("Burdock-Attempt", request.attempt()))
			.addHeader(RawHeader.create("Burdock-Not-Run", "true"))
			.withEntity(reason);
	}

	private static HttpResponse deadlinePassed(RunRequest request) {
		return HttpResponse.create()
			.withStatus(504)
			.addHeader(RawHeader.create("Burdock-Attempt", request.attempt()))
			.withEntity("the stand-in runner stopped the work at its deadline");
	}

	/** Messages of the runner. */
	sealed interface Command {

	}

	/**
	 * Runs a request.
	 *
	 * @param request the request
	 * @param replyTo receives the answer
	 */
	record Run(RunRequest request, ActorRef<HttpResponse> replyTo) implements Command {

	}

	/**
	 * A request has run for its time.
	 *
	 * @param run the request
	 * @param atDeadline whether its deadline ended it
	 */
	private record Ended(Run run, boolean atDeadline) implements Command {

	}

	/**
	 * A connection was opened.
	 *
	 * @param replyTo receives whether it may stay open
	 */
	record Connect(ActorRef<Boolean> replyTo) implements Command {

	}

	/** An accepted connection was closed. */
	record Disconnect() implements Command {

	}

	/**
	 * Switches the behaviour.
	 *
	 * @param behaviour the new behaviour
	 */
	record SetBehaviour(RunnerBehaviour behaviour) implements Command {

	}

	/**
	 * Asks for the counts.
	 *
	 * @param replyTo receives them
	 */
	record GetCounts(ActorRef<RunnerCounts> replyTo) implements Command {

	}

	/** Takes no new work and ends when the work in flight has ended. */
	record Leave() implements Command {

	}

	/** Time to announce. */
	private enum Announce implements Command {

		INSTANCE

	}

	/** An entry host has answered a leaving announcement, or none did in time. */
	enum LeavingConfirmed implements Command {

		/** The only instance. */
		INSTANCE

	}

	/** No work is in flight any more. */
	record Drained() {

	}

}
