package io.burdockpin.testbench.worker;

import java.time.Duration;
import java.util.Optional;
import java.util.UUID;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.json.WorkerAnnouncement;
import io.burdockpin.codec.json.WorkerAnnouncementReply;
import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.program.EntryRotation;
import io.burdockpin.testbench.program.JsonHttp;
import io.burdockpin.testbench.program.LineFile;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Owns the jobs of the worker, lets them run by a timer and announces them to an entry
 * host.
 */
final class WorkerActor extends AbstractBehavior<WorkerActor.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private static final Duration STEP = Duration.ofMillis(50);

	/** Announcements are late by up to a fifth of the attachment time. */
	private static final double MARGIN = 1.2;

	private final WorkerSettings settings;

	private final ActorRef<LineFile.Append> jobFile;

	private final ActorRef<Drained> guardian;

	private final JsonHttp http;

	private final EntryRotation rotation;

	private final JobTable jobs;

	private final LaggingUsage laggingUsage;

	private final String bootId = UUID.randomUUID().toString();

	private long sequence;

	private boolean stopping;

	private WorkerActor(ActorContext<Command> context, TimerScheduler<Command> timers, WorkerSettings settings,
			ActorRef<LineFile.Append> jobFile, ActorRef<Drained> guardian) {
		super(context);
		this.settings = settings;
		this.jobFile = jobFile;
		this.guardian = guardian;
		this.http = new JsonHttp(context.getSystem(), settings.trustFile());
		this.rotation = new EntryRotation(settings.entries(), (long) (settings.attachmentMillis() * MARGIN),
				System.currentTimeMillis());
		this.jobs = new JobTable(settings.behaviour());
		this.laggingUsage = new LaggingUsage(settings.usageLagMillis());
		timers.startTimerWithFixedDelay(Tick.STEP, STEP);
		timers.startTimerWithFixedDelay(Tick.ANNOUNCE, Duration.ZERO, Duration.ofMillis(settings.announceMillis()));
	}

	// life cycle

	static Behavior<Command> create(WorkerSettings settings, ActorRef<LineFile.Append> jobFile,
			ActorRef<Drained> guardian) {
		return Behaviors.setup((context) -> Behaviors
			.withTimers((timers) -> new WorkerActor(context, timers, settings, jobFile, guardian)));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessageEquals(Tick.STEP, this::onStep)
			.onMessageEquals(Tick.ANNOUNCE, this::onAnnounce)
			.onMessage(Answered.class, this::onAnswered)
			.onMessage(SetBehaviour.class, this::onSetBehaviour)
			.onMessage(GetCounts.class, this::onGetCounts)
			.onMessage(Stop.class, (command) -> onStop())
			.build();
	}

	private Behavior<Command> onStep() {
		this.jobs.advance(System.currentTimeMillis());
		noteChanges();
		return this;
	}

	private Behavior<Command> onAnnounce() {
		long nowMillis = System.currentTimeMillis();
		this.rotation.onTick(nowMillis);
		this.jobs.advance(nowMillis);
		this.sequence++;
		this.jobs.onSend(this.sequence, nowMillis);
		EndPoint target = this.rotation.current();
		WorkerAnnouncement document = new WorkerAnnouncement(this.settings.name(), this.bootId, this.sequence,
				this.laggingUsage.sample(this.jobs.usage(), nowMillis), this.jobs.reports());
		getContext().pipeToSelf(this.http.post(target, "/v1/workers/announce", document, WorkerAnnouncementReply.class),
				(reply, failure) -> new Answered(target, (failure != null) ? Optional.empty() : reply));
		return this;
	}

	private Behavior<Command> onAnswered(Answered answered) {
		answered.reply().ifPresent((reply) -> onReply(answered.target(), reply));
		if (this.stopping) {
			this.guardian.tell(new Drained());
		}
		return this;
	}

	private Behavior<Command> onSetBehaviour(SetBehaviour command) {
		logger.atInfo().log("Behaviour is now %s.", command.behaviour());
		this.jobs.behaveLike(command.behaviour());
		return this;
	}

	private Behavior<Command> onGetCounts(GetCounts command) {
		command.replyTo()
			.tell(new WorkerCounts(this.jobs.running(), this.jobs.refusedOrders(), this.rotation.current().toString()));
		return this;
	}

	private Behavior<Command> onStop() {
		logger.atInfo().log("Stopping %d jobs with a checkpoint.", this.jobs.running());
		this.stopping = true;
		this.jobs.stopAll(System.currentTimeMillis());
		noteChanges();
		return onAnnounce();
	}

	// helpers

	private void onReply(EndPoint target, WorkerAnnouncementReply reply) {
		long nowMillis = System.currentTimeMillis();
		if (target.equals(this.rotation.current())) {
			this.rotation.onAnswer(nowMillis);
			reply.attachTo().ifPresent((other) -> this.rotation.onAttachTo(EndPoint.parse(other), nowMillis));
		}
		if (!this.stopping) {
			this.jobs.onReply(reply, nowMillis);
			noteChanges();
		}
	}

	private void noteChanges() {
		this.jobs.takeChanges()
			.forEach((line) -> this.jobFile.tell(new LineFile.Append(line + " " + this.settings.name())));
	}

	/** Messages of the worker. */
	sealed interface Command {

	}

	/** Timers. */
	private enum Tick implements Command {

		STEP, ANNOUNCE

	}

	/**
	 * An announcement was answered or lost.
	 *
	 * @param target the entry host
	 * @param reply the answer if there is one
	 */
	private record Answered(EndPoint target, Optional<WorkerAnnouncementReply> reply) implements Command {

	}

	/**
	 * Switches the behaviour for later jobs.
	 *
	 * @param behaviour the new behaviour
	 */
	record SetBehaviour(WorkerBehaviour behaviour) implements Command {

	}

	/**
	 * Asks for the counts.
	 *
	 * @param replyTo receives them
	 */
	record GetCounts(ActorRef<WorkerCounts> replyTo) implements Command {

	}

	/** Stops all jobs, reports them once and ends. */
	record Stop() implements Command {

	}

	/** The last report was answered or lost. */
	record Drained() {

	}

}
