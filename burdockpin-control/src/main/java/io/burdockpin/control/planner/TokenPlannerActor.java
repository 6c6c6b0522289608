package io.burdockpin.control.planner;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.control.replica.FleetRecords;
import io.burdockpin.control.replica.ReplicaMessage;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.ClientMessage.TokenReport;
import io.burdockpin.core.limit.LeaderDeltas;
import io.burdockpin.core.limit.TokenAllocator;
import io.burdockpin.core.limit.TokenSettings;
import io.burdockpin.core.limit.TokenView;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.HolderRecord;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;

/**
 * Divides the limits of the teams among the entry hosts while this member is the leader.
 * Owns the allocator of the current term.
 * <p>
 * A round takes the pending reports, fetches records, plans, proposes the resulting
 * commands, and answers the reports from records fetched after the proposals are
 * complete. A holder thus learns of additional tokens as soon as they are committed, and
 * the allocator processes every report before it is answered. Grants to holders that lack
 * tokens are also pushed at once, over the session of their last answered report.
 * <p>
 * Records that are requested after a report arrived prove that no other member was
 * elected before the report was sent. The lease that the answer renews counts from the
 * report, and a successor waits for a lease and its margin from its election, so the
 * lease has ended by then, even if this process was paused before it answered.
 */
public final class TokenPlannerActor extends AbstractBehavior<TokenPlannerActor.Message> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * Longer than a commit takes under load. A lost reply delays the answers by this
	 * time.
	 */
	private static final Duration ROUND_TIMEOUT = Duration.ofSeconds(2);

	/**
	 * A restarted planner does not know the reductions that its previous incarnation
	 * proposed. They are applied or lost within this time, because a leader without a
	 * majority steps down after an election timeout.
	 */
	private static final long REDUCTION_SETTLE_MILLIS = 2_000;

	private final TimerScheduler<Message> timers;

	private final TokenSettings settings;

	private final Duration roundPeriod;

	private final InstantSource clock;

	private final ActorRef<ReplicaMessage> replica;

	private final OpenProposals proposals;

	private final ActorRef<ClientMessage> proposalReplies;

	private final long startedMillis;

	private final List<ReportArrived> waitingReports = new ArrayList<>();

	private final List<ReportArrived> roundReports = new ArrayList<>();

	private Optional<TokenAllocator> allocator = Optional.empty();

	private LeaderDeltas deltas = new LeaderDeltas();

	private final Map<Holder, ActorRef<? super ClientMessage>> sessions = new HashMap<>();

	private boolean roundRunning;

	private TokenPlannerActor(ActorContext<Message> context, TimerScheduler<Message> timers, TokenSettings settings,
			Duration roundPeriod, InstantSource clock, ActorRef<ReplicaMessage> replica) {
		super(context);
		this.timers = timers;
		this.settings = settings;
		this.roundPeriod = roundPeriod;
		this.clock = clock;
		this.replica = replica;
		this.startedMillis = clock.millis();
		this.proposals = new OpenProposals(replica);
		this.proposalReplies = context.messageAdapter(ClientMessage.class, ProposalEnded::new);
		timers.startTimerWithFixedDelay(Signal.ROUND_DUE, roundPeriod);
	}

	// life cycle

	/**
	 * Creates the behavior.
	 * @param settings lease and timeouts of the token protocol
	 * @param roundPeriod maximum time between two rounds; a report starts a round at once
	 * @param clock monotonic clock, because it measures leases
	 * @param replica the replica of this member
	 * @return the behavior of the actor
	 */
	public static Behavior<Message> create(TokenSettings settings, Duration roundPeriod, InstantSource clock,
			ActorRef<ReplicaMessage> replica) {
		return Behaviors.setup((context) -> Behaviors
			.withTimers((timers) -> new TokenPlannerActor(context, timers, settings, roundPeriod, clock, replica)));
	}

	@Override
	public Receive<Message> createReceive() {
		return newReceiveBuilder().onMessage(ReportArrived.class, this::onReport)
			.onMessageEquals(Signal.ROUND_DUE, this::onRoundDue)
			.onMessageEquals(Signal.PROPOSALS_TIMED_OUT, this::onProposalsTimedOut)
			.onMessageEquals(Signal.RECORDS_UNAVAILABLE, this::onRecordsUnavailable)
			.onMessage(RecordsToPlan.class, this::onRecordsToPlan)
			.onMessage(ProposalEnded.class, this::onProposalEnded)
			.onMessage(RecordsToAnswer.class, this::onRecordsToAnswer)
			.build();
	}

	// helpers

	private Behavior<Message> onReport(ReportArrived report) {
		this.waitingReports.add(report);
		// Restarts the period, so that the next periodic round is due one period after
		// this one.
		this.timers.startTimerWithFixedDelay(Signal.ROUND_DUE, this.roundPeriod);
		return onRoundDue();
	}

	private Behavior<Message> onRoundDue() {
		if (!this.roundRunning) {
			this.roundRunning = true;
			this.roundReports.addAll(this.waitingReports);
			this.waitingReports.clear();
			fetch(RecordsToPlan::new);
		}
		return this;
	}

	private Behavior<Message> onRecordsToPlan(RecordsToPlan arrived) {
		FleetRecords records = arrived.records();
		if (!records.leader()) {
			return onRecordsUnavailable();
		}
		TokenAllocator current = allocatorForTerm(records.term());
		long nowMillis = this.clock.millis();
		TokenView view = view(records);
		this.deltas.retain(view);
		expandRoundReports();
		this.roundReports.forEach((report) -> current.onReport(report.report(), nowMillis));
		List<Command> commands = current.plan(view, nowMillis);
		if (commands.isEmpty()) {
			return onRecordsToAnswer(new RecordsToAnswer(records));
		}
		this.timers.startSingleTimer(Signal.PROPOSALS_TIMED_OUT, ROUND_TIMEOUT);
		this.proposals.propose(commands, this.proposalReplies);
		return this;
	}

	private Behavior<Message> onProposalEnded(ProposalEnded ended) {
		return this.proposals.onReply(ended.reply()) ? onProposalsTimedOut() : this;
	}

	private Behavior<Message> onProposalsTimedOut() {
		this.timers.cancel(Signal.PROPOSALS_TIMED_OUT);
		fetch(RecordsToAnswer::new);
		return this;
	}

	private Behavior<Message> onRecordsToAnswer(RecordsToAnswer arrived) {
		FleetRecords records = arrived.records();
		Optional<TokenAllocator> leading = this.allocator
			.filter((current) -> records.leader() && current.term() == records.term());
		if (leading.isEmpty()) {
			return onRecordsUnavailable();
		}
		long nowMillis = this.clock.millis();
		if (nowMillis - this.startedMillis < REDUCTION_SETTLE_MILLIS) {
			return endRound();
		}
		TokenView view = view(records);
		for (ReportArrived arrivedReport : this.roundReports) {
			this.sessions.put(arrivedReport.report().holder(), arrivedReport.replyTo());
			arrivedReport.replyTo().tell(answer(leading.get(), arrivedReport.report(), view, nowMillis));
		}
		pushGrants(leading.get(), view, nowMillis);
		return endRound();
	}

	private ClientMessage answer(TokenAllocator leading, TokenReport report, TokenView view, long nowMillis) {
		return leading.refusal(report, view)
			.<ClientMessage>map((refusal) -> refusal)
			.orElseGet(() -> this.deltas.toDelta(report, leading.answer(report, view, nowMillis)));
	}

	// If a push is lost, the answer to the next report contains its grants.
	private void pushGrants(TokenAllocator leading, TokenView view, long nowMillis) {
		this.sessions.keySet().retainAll(view.holders().stream().map(HolderRecord::holder).toList());
		leading.pushes(view, nowMillis)
			.forEach((report, grants) -> Optional.ofNullable(this.sessions.get(report.holder()))
				.ifPresent((session) -> session.tell(this.deltas.toDelta(report, grants))));
	}

	// A delta without a known base is not answered, so the holder sends a full report.
	private void expandRoundReports() {
		List<ReportArrived> arrived = List.copyOf(this.roundReports);
		this.roundReports.clear();
		for (ReportArrived report : arrived) {
			this.deltas.fromDelta(report.report())
				.ifPresent((full) -> this.roundReports.add(new ReportArrived(full, report.replyTo())));
		}
	}

	// Entry hosts find the new leader and report to it. The allocator is kept, because
	// its pending reductions may still be applied in the same term.
	private Behavior<Message> onRecordsUnavailable() {
		this.waitingReports.clear();
		return endRound();
	}

	private Behavior<Message> endRound() {
		this.roundReports.clear();
		this.roundRunning = false;
		return this.waitingReports.isEmpty() ? this : onRoundDue();
	}

	private TokenAllocator allocatorForTerm(long term) {
		if (this.allocator.filter((current) -> current.term() == term).isEmpty()) {
			this.allocator = Optional.of(new TokenAllocator(this.settings, term, this.clock.millis()));
			this.deltas = new LeaderDeltas();
			logger.atInfo().log("Started dividing limits as leader of term %d.", term);
		}
		return this.allocator.get();
	}

	private void fetch(Function<FleetRecords, Message> received) {
		getContext().ask(FleetRecords.class, this.replica, ROUND_TIMEOUT, ReplicaMessage.FetchRecords::new,
				(records, failure) -> (failure != null) ? Signal.RECORDS_UNAVAILABLE : received.apply(records));
	}

	private static TokenView view(FleetRecords records) {
		return new TokenView(records.configuration().teams(), records.holders(), records.tokens(), records.jobs(),
				records.configuration().hosts());
	}

	/** Messages of the token planner. */
	public sealed interface Message {

	}

	/**
	 * A token report of an entry host.
	 *
	 * @param report the report
	 * @param replyTo receives the grants; no reply is sent if this member is not the
	 * leader
	 */
	public record ReportArrived(TokenReport report, ActorRef<? super ClientMessage> replyTo) implements Message {
	}

	private record RecordsToPlan(FleetRecords records) implements Message {
	}

	private record ProposalEnded(ClientMessage reply) implements Message {
	}

	private record RecordsToAnswer(FleetRecords records) implements Message {
	}

	private enum Signal implements Message {

		ROUND_DUE, PROPOSALS_TIMED_OUT, RECORDS_UNAVAILABLE

	}

}
