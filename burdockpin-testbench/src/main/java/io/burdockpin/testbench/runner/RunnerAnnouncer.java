package io.burdockpin.testbench.runner;

import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.json.RunnerAnnouncement;
import io.burdockpin.codec.json.RunnerAnnouncementReply;
import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.program.EntryRotation;
import io.burdockpin.testbench.program.JsonHttp;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/** Owns the attachment of the runner and its connections to entry hosts. */
final class RunnerAnnouncer extends AbstractBehavior<RunnerAnnouncer.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Announcements are late by up to a fifth of the attachment time. */
	private static final double MARGIN = 1.2;

	private final RunnerSettings settings;

	private final EndPoint address;

	private final InstantSource clock;

	private final JsonHttp http;

	private final EntryRotation rotation;

	private Optional<ActorRef<RunnerActor.Command>> runner = Optional.empty();

	private RunnerAnnouncer(ActorContext<Command> context, RunnerSettings settings, EndPoint address,
			InstantSource clock) {
		super(context);
		this.settings = settings;
		this.address = address;
		this.clock = clock;
		this.http = new JsonHttp(context.getSystem(), settings.trustFile());
		this.rotation = new EntryRotation(settings.entries(), (long) (settings.attachmentMillis() * MARGIN),
				this.clock.millis());
	}

	// life cycle

	static Behavior<Command> create(RunnerSettings settings, EndPoint address, InstantSource clock) {
		return Behaviors.setup((context) -> new RunnerAnnouncer(context, settings, address, clock));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(ConfirmTo.class, this::onConfirmTo)
			.onMessage(Announce.class, this::onAnnounce)
			.onMessage(Answered.class, this::onAnswered)
			.build();
	}

	private Behavior<Command> onConfirmTo(ConfirmTo command) {
		this.runner = Optional.of(command.runner());
		return this;
	}

	private Behavior<Command> onAnnounce(Announce announce) {
		this.rotation.onTick(this.clock.millis());
		EndPoint target = this.rotation.current();
		getContext().pipeToSelf(
				this.http.post(target, "/v1/upstreams/announce", document(announce), RunnerAnnouncementReply.class),
				(reply, failure) -> new Answered(target, announce.leaving(),
						(failure != null) ? Optional.empty() : reply));
		return this;
	}

	private Behavior<Command> onAnswered(Answered answered) {
		if (!answered.target().equals(this.rotation.current())) {
			return this;
		}
		answered.reply().ifPresent((reply) -> onReply(answered, reply));
		return this;
	}

	// helpers

	private void onReply(Answered answered, RunnerAnnouncementReply reply) {
		long nowMillis = this.clock.millis();
		this.rotation.onAnswer(nowMillis);
		if (answered.leaving()) {
			this.runner.ifPresent((actor) -> actor.tell(RunnerActor.LeavingConfirmed.INSTANCE));
			return;
		}
		reply.attachTo().ifPresent((target) -> {
			logger.atInfo().log("Attaching to %s.", target);
			this.rotation.onAttachTo(EndPoint.parse(target), nowMillis);
		});
	}

	private RunnerAnnouncement document(Announce announce) {
		return new RunnerAnnouncement(this.settings.name(), this.settings.queue(), this.settings.dataCentre(),
				this.address.toString(), this.settings.tls().isPresent(), this.settings.slots(),
				this.settings.connections(), this.rotation.epoch(), announce.slotsInUse(), announce.leaving(),
				OptionalLong.of(this.clock.millis()));
	}

	/** Messages of the announcer. */
	sealed interface Command {

	}

	/**
	 * Names the runner that hears about a confirmed leaving.
	 *
	 * @param runner the runner
	 */
	record ConfirmTo(ActorRef<RunnerActor.Command> runner) implements Command {

	}

	/**
	 * Announces the runner.
	 *
	 * @param slotsInUse requests running now
	 * @param leaving whether it takes no new work
	 */
	record Announce(int slotsInUse, boolean leaving) implements Command {

	}

	/**
	 * An announcement was answered or lost.
	 *
	 * @param target the entry host
	 * @param leaving whether the announcement said leaving
	 * @param reply the answer if there is one
	 */
	private record Answered(EndPoint target, boolean leaving,
			Optional<RunnerAnnouncementReply> reply) implements Command {

	}

}
