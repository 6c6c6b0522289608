package io.burdockpin.batch.consensus;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.control.replica.LogWriter;
import io.burdockpin.core.consensus.ConsensusEnvelope;
import io.burdockpin.core.consensus.ConsensusMessage;
import io.burdockpin.core.consensus.Effect;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.Replica;
import io.burdockpin.core.consensus.Role;
import io.burdockpin.core.event.HybridClock;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Owns the {@link Replica} of this member and executes its effects. The state machine is
 * owned by another actor, which receives committed entries in log order.
 */
public final class ConsensusActor extends AbstractBehavior<ConsensusCommand> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Safety net: limits the effect of a missed deadline of the replica. */
	private static final long MAXIMUM_TICK_DELAY_MILLIS = 1_000;

	private final TimerScheduler<ConsensusCommand> timers;

	private final ConsensusSettings settings;

	private final Replica replica;

	private final ActorRef<LogWriter.Command> logWriter;

	private final ActorRef<? super ConsensusReport> owner;

	private final InstantSource clock;

	private final HybridClock hybridClock = new HybridClock();

	private final GroupAdmission admission;

	private Optional<ActorRef<MemberLinks.Command>> links = Optional.empty();

	private long tickDueMillis = Long.MAX_VALUE;

	/** Whether a voter has to be removed once the latest change is committed. */
	private boolean surplusVoter;

	private ConsensusActor(ActorContext<ConsensusCommand> context, TimerScheduler<ConsensusCommand> timers,
			ConsensusSettings settings, Replica replica, ActorRef<LogWriter.Command> logWriter,
			ActorRef<? super ConsensusReport> owner, MetricRegistry metrics, InstantSource clock) {
		super(context);
		this.timers = timers;
		this.settings = settings;
		this.replica = replica;
		this.logWriter = logWriter;
		this.owner = owner;
		this.clock = clock;
		this.admission = new GroupAdmission(replica, settings, metrics);
		// Reports of syncs come straight to this actor: heartbeats are answered after
		// them.
		logWriter.tell(new LogWriter.Attach(context.messageAdapter(LogWriter.Written.class,
				(written) -> new ConsensusCommand.Written(written.number()))));
		runEffects();
	}

	// life cycle

	static Behavior<ConsensusCommand> create(ConsensusSettings settings, Replica replica,
			ActorRef<LogWriter.Command> logWriter, ActorRef<? super ConsensusReport> owner, MetricRegistry metrics,
			InstantSource clock) {
		return Behaviors.setup((context) -> Behaviors.withTimers(
				(timers) -> new ConsensusActor(context, timers, settings, replica, logWriter, owner, metrics, clock)));
	}

	@Override
	public Receive<ConsensusCommand> createReceive() {
		return newReceiveBuilder().onMessageEquals(ConsensusCommand.Timer.TICK, this::onTick)
			.onMessage(ConsensusCommand.Written.class, this::onWritten)
			.onMessage(ConsensusCommand.FromMember.class, this::onFromMember)
			.onMessage(ConsensusCommand.Propose.class, this::onPropose)
			.onMessage(ConsensusCommand.Read.class, this::onRead)
			.onMessage(ConsensusCommand.Compact.class, this::onCompact)
			.onMessage(ConsensusCommand.Admit.class, this::onAdmit)
			.onMessage(ConsensusCommand.AttachLinks.class, this::onAttachLinks)
			.onMessageEquals(ConsensusCommand.TransferLeadership.INSTANCE, this::onTransferLeadership)
			.build();
	}

	private Behavior<ConsensusCommand> onTick() {
		this.tickDueMillis = Long.MAX_VALUE;
		this.replica.tick(nowMillis());
		return runEffects();
	}

	private Behavior<ConsensusCommand> onWritten(ConsensusCommand.Written written) {
		this.replica.onSynced(written.number(), nowMillis());
		return runEffects();
	}

	private Behavior<ConsensusCommand> onFromMember(ConsensusCommand.FromMember command) {
		ConsensusEnvelope envelope = command.envelope();
		if (!envelope.cluster().equals(this.settings.cluster())) {
			logger.atWarning()
				.log("Dropped a message from %s of another cluster, %s.", envelope.sender(), envelope.cluster());
			return this;
		}
		this.hybridClock.merge(envelope.timestamp());
		this.replica.receive(envelope, nowMillis());
		return runEffects();
	}

	private Behavior<ConsensusCommand> onPropose(ConsensusCommand.Propose command) {
		OptionalLong index = this.replica.propose(command.payload(), nowMillis());
		this.owner.tell(index.isPresent() ? new ConsensusReport.Proposed(command.tag(), index.getAsLong())
				: new ConsensusReport.NotProposed(command.tag()));
		return runEffects();
	}

	private Behavior<ConsensusCommand> onRead(ConsensusCommand.Read command) {
		this.replica.read(command.number(), nowMillis());
		return runEffects();
	}

	private Behavior<ConsensusCommand> onCompact(ConsensusCommand.Compact command) {
		this.replica.compact(command.index(), command.state());
		return runEffects();
	}

	private Behavior<ConsensusCommand> onAdmit(ConsensusCommand.Admit command) {
		this.admission.onRequest(command.member(), command.dataCentre(), nowMillis());
		return runEffects();
	}

	private Behavior<ConsensusCommand> onAttachLinks(ConsensusCommand.AttachLinks command) {
		this.links = Optional.of(command.links());
		command.links().tell(new MemberLinks.MembersChanged(this.replica.status().membership()));
		return this;
	}

	private Behavior<ConsensusCommand> onTransferLeadership() {
		this.replica.handOver(nowMillis());
		return runEffects();
	}

	// helpers

	private Behavior<ConsensusCommand> runEffects() {
		drainEffects();
		if (this.surplusVoter) {
			this.admission.removeSurplus(nowMillis());
			drainEffects();
		}
		scheduleTick();
		return this;
	}

	private void drainEffects() {
		List<Effect> effects = this.replica.drainEffects();
		while (!effects.isEmpty()) {
			effects.forEach(this::run);
			effects = this.replica.drainEffects();
		}
	}

	private void scheduleTick() {
		long nowMillis = nowMillis();
		long dueMillis = Math.min(nowMillis + MAXIMUM_TICK_DELAY_MILLIS, this.replica.nextDueMillis(nowMillis));
		if (dueMillis < this.tickDueMillis) {
			this.tickDueMillis = dueMillis;
			this.timers.startSingleTimer(ConsensusCommand.Timer.TICK,
					Duration.ofMillis(Math.max(1, dueMillis - nowMillis)));
		}
	}

	private void run(Effect effect) {
		if (effect instanceof Effect.Send send) {
			send(send.receiver(), send.membershipIndex(), send.message());
		}
		else if (effect instanceof Effect.WriteEntries write) {
			this.logWriter.tell(new LogWriter.WriteEntries(write));
		}
		else if (effect instanceof Effect.WriteVote write) {
			this.logWriter.tell(new LogWriter.WriteVote(write));
		}
		else if (effect instanceof Effect.WriteSnapshot write) {
			this.logWriter.tell(new LogWriter.WriteSnapshot(write));
		}
		else {
			report(effect);
		}
	}

	private void report(Effect effect) {
		if (effect instanceof Effect.Apply apply) {
			this.owner.tell(new ConsensusReport.Committed(apply.entries(), this.replica.needsSnapshot()));
		}
		else if (effect instanceof Effect.Restore restore) {
			this.owner.tell(new ConsensusReport.Restored(restore.snapshot()));
		}
		else if (effect instanceof Effect.ReadConfirmed read) {
			this.owner
				.tell(new ConsensusReport.ReadDone(read.readNumber(), ReadOutcome.confirmed(read.permitsSending())));
		}
		else if (effect instanceof Effect.ReadRefused read) {
			this.owner.tell(new ConsensusReport.ReadDone(read.readNumber(), ReadOutcome.REFUSED));
		}
		else if (effect instanceof Effect.LeadershipChanged changed) {
			this.owner.tell(new ConsensusReport.LeadershipChanged(changed.role() == Role.LEADER, changed.term(),
					changed.leader()));
		}
		else if (effect instanceof Effect.MembershipChanged changed) {
			this.surplusVoter = this.admission.hasSurplusVoter(changed.membership());
			this.links.ifPresent((target) -> target.tell(new MemberLinks.MembersChanged(changed.membership())));
			this.owner.tell(new ConsensusReport.MembersChanged(changed.membership()));
		}
	}

	private void send(MemberId receiver, long membershipIndex, ConsensusMessage message) {
		this.links.ifPresent((target) -> target
			.tell(new MemberLinks.Send(new ConsensusEnvelope(this.settings.cluster(), this.replica.status().self(),
					receiver, membershipIndex, this.hybridClock.tick(this.clock.millis()), message))));
	}

	private long nowMillis() {
		return this.clock.millis();
	}

}
