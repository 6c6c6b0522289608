package io.burdockpin.batch.scheduler;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.google.common.truth.Truth;
import io.burdockpin.batch.BatchSettings;
import io.burdockpin.batch.consensus.ConsensusCommand;
import io.burdockpin.batch.consensus.ConsensusReport;
import io.burdockpin.batch.consensus.ReadOutcome;
import io.burdockpin.batch.port.HostChannel;
import io.burdockpin.batch.port.ReplyPort;
import io.burdockpin.batch.port.RunnerChannel;
import io.burdockpin.codec.cbor.CborBatchSnapshotCodec;
import io.burdockpin.codec.cbor.CborCommandGroupCodec;
import io.burdockpin.core.batch.call.DataCentreRules;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.core.batch.lead.LeaderSettings;
import io.burdockpin.core.batch.lead.pool.BalanceSettings;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.lead.run.SessionSettings;
import io.burdockpin.core.batch.lead.wave.WaveSettings;
import io.burdockpin.core.batch.model.DataCentreClosing;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.batch.state.MovePhase;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.Snapshot;
import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;
import io.burdockpin.runtime.event.EventLog;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.ManualTime;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a leader that acts although its leadership is over or not confirmed. A
 * probe takes the place of the replicated log.
 */
class SchedulerActorTests {

	private static final long TERM = 3;

	private static final MemberId SELF = new MemberId(new HostName("10.0.0.1"), 1);

	private static final RunnerRecord RUNNER = new RunnerRecord(new RunnerKey("runner", 5), Optional.of("host"), "pool",
			"10.0.0.2:1", "dc1", Optional.empty(), Resources.NONE, Set.of(), false);

	private final ActorTestKit testKit = ActorTestKit.create(ManualTime.config());

	private final TestProbe<ConsensusCommand> consensus = this.testKit.createTestProbe();

	private final TestProbe<RunnerChannel.Command> runners = this.testKit.createTestProbe();

	private final TestProbe<EventLog.Command> events = this.testKit.createTestProbe();

	private final TestProbe<FleetReply> replies = this.testKit.createTestProbe();

	/** Atomic, because the actor reads the clocks in a thread of its own. */
	private final AtomicLong steadyMillis = new AtomicLong(1_000_000);

	private final AtomicLong wallMillis = new AtomicLong(1_000_000);

	/** Number of messages to channels that make their channel fail. */
	private final AtomicInteger failingChannels = new AtomicInteger();

	private final ManualTime time = ManualTime.get(this.testKit.system());

	private final ActorRef<SchedulerCommand> scheduler = this.testKit.spawn(SchedulerActor.create(settings(),
			new DataCentreRules(Set.of("dc1")), (runner) -> Behaviors.receiveMessage((command) -> {
				if (this.failingChannels.getAndDecrement() > 0) {
					throw new IllegalStateException("injected failure of a channel");
				}
				this.runners.getRef().tell(command);
				return Behaviors.same();
			}), this.testKit.<HostChannel.Command>createTestProbe().getRef(), this.events.getRef(),
			() -> Instant.ofEpochMilli(this.steadyMillis.get()), () -> Instant.ofEpochMilli(this.wallMillis.get())));

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	/** The read was refused because the majority is lost, so the state may be old. */
	@Test
	void aReadThatTheMajorityDoesNotConfirmIsNotAnswered() {
		lead();
		this.scheduler.tell(new SchedulerCommand.Call(new FleetCall.ReadConfiguration(), replyPort()));
		// The call shares the confirmation that the new leader asks for, or has the next.
		completeReads(false);
		completeReads(false);
		Truth.assertThat(this.replies.receiveMessage()).isInstanceOf(FleetReply.NotLeader.class);
	}

	/** Guards against an explanation from the state of a deposed leader. */
	@Test
	void anExplanationThatTheMajorityDoesNotConfirmIsNotGiven() {
		lead();
		this.scheduler.tell(new SchedulerCommand.Call(explanationOf("missing"), replyPort()));
		completeReads(false);
		completeReads(false);
		Truth.assertThat(this.replies.receiveMessage()).isInstanceOf(FleetReply.NotLeader.class);
	}

	/** Guards against an explanation that is written to the log. */
	@Test
	void aConfirmedExplanationProposesNothing() {
		lead();
		completeReads(true);
		this.scheduler.tell(new SchedulerCommand.Call(explanationOf("missing"), replyPort()));
		completeReads(true);
		Truth.assertThat(this.replies.receiveMessage())
			.isEqualTo(new FleetReply.Refused(FleetReply.Reason.NO_SUCH_JOB, Optional.empty()));
		this.consensus.expectNoMessage(Duration.ofMillis(100));
	}

	/**
	 * Guards against a departure that is known only to the leader that acknowledges it:
	 * the next one would assign tasks to the runner.
	 */
	@Test
	void aDepartureIsCommittedBeforeItIsAcknowledged() {
		lead();
		this.scheduler.tell(new SchedulerCommand.Call(new FleetCall.Leave("runner"), replyPort()));
		ConsensusCommand.Propose proposal = nextProposal();
		this.replies.expectNoMessage(Duration.ofMillis(100));
		report(new ConsensusReport.Proposed(proposal.tag(), 2));
		report(new ConsensusReport.Committed(
				List.of(new LogEntry(2, TERM, new EntryContent.CommandContent(proposal.payload()))), false));
		Truth.assertThat(this.replies.receiveMessage()).isEqualTo(new FleetReply.Accepted());
		Truth.assertThat(nextEvent(EventKind.RUNNER_ATTACHED, "LEAVING").fields())
			.containsEntry(EventField.RUNNER, "runner@5");
	}

	/**
	 * Guards against a closing that is acknowledged although it is lost with the leader.
	 */
	@Test
	void aClosingIsCommittedBeforeItIsAcknowledged() {
		lead();
		call(new FleetCall.CloseDataCentre("dc1", "operator"));
		ConsensusCommand.Propose proposal = nextProposal();
		report(new ConsensusReport.Proposed(proposal.tag(), 2));
		this.replies.expectNoMessage(Duration.ofMillis(100));
		commit(2, proposal);
		Truth.assertThat(this.replies.receiveMessage()).isEqualTo(new FleetReply.Accepted());
	}

	/** Guards against an order that is refused when it is sent again. */
	@Test
	void aRepeatedOrderIsAcknowledgedAgain() {
		lead();
		for (long index = 2; index < 8; index++) {
			call((index < 5) ? new FleetCall.CloseDataCentre("dc1", "operator")
					: new FleetCall.OpenDataCentre("dc1", "operator"));
			commitNextProposal(index);
			Truth.assertThat(this.replies.receiveMessage()).isEqualTo(new FleetReply.Accepted());
		}
	}

	/**
	 * Guards against an order that is acknowledged on the strength of a state that an
	 * earlier order, not committed yet, is about to change.
	 */
	@Test
	void anOrderThatOvertakesTheCommitOfTheOneBeforeItIsCommittedAfterIt() {
		lead();
		call(new FleetCall.CloseDataCentre("dc1", "operator"));
		ConsensusCommand.Propose closing = nextProposal();
		report(new ConsensusReport.Proposed(closing.tag(), 2));
		call(new FleetCall.OpenDataCentre("dc1", "operator"));
		ConsensusCommand.Propose opening = nextProposal();
		report(new ConsensusReport.Proposed(opening.tag(), 3));
		this.replies.expectNoMessage(Duration.ofMillis(100));
		commit(2, closing);
		commit(3, opening);
		this.replies.receiveSeveralMessages(2);
		Truth.assertThat(status("dc1").closing()).isEmpty();
	}

	/**
	 * Guards against an acknowledgement by a leader that was lost between the proposal
	 * and the answer, and against a next leader that does not know of the closing.
	 */
	@Test
	void theNextLeaderKnowsAndAcknowledgesAClosingThatWasCommittedButNotAnswered() {
		lead();
		call(new FleetCall.CloseDataCentre("dc1", "operator"));
		ConsensusCommand.Propose proposal = nextProposal();
		report(new ConsensusReport.Proposed(proposal.tag(), 2));
		report(new ConsensusReport.LeadershipChanged(false, TERM + 1, Optional.empty()));
		Truth.assertThat(this.replies.receiveMessage()).isEqualTo(new FleetReply.Unknown());
		commit(2, proposal);
		report(new ConsensusReport.LeadershipChanged(true, TERM + 2, Optional.of(SELF)));
		commit(3, TERM + 2, new BatchCommand.CancelJob("none"));
		Truth.assertThat(status("dc1").closing().map(DataCentreClosing::origin)).hasValue("operator");
		call(new FleetCall.CloseDataCentre("dc1", "operator"));
		commitNextProposal(4);
		Truth.assertThat(this.replies.receiveMessage()).isEqualTo(new FleetReply.Accepted());
	}

	/** Guards against a restarted member that takes a closed data centre as open. */
	@Test
	void aClosingIsRestoredFromASnapshot() {
		BatchState stored = new BatchState();
		stored.apply(new CommandGroup(5, List.of(new BatchCommand.CloseDataCentre("dc1", "operator"))));
		report(new ConsensusReport.Restored(new Snapshot(1, TERM - 1, 0, Membership.EMPTY,
				Payload.of(new CborBatchSnapshotCodec().encode(stored.snapshot())))));
		this.scheduler.tell(new SchedulerCommand.AttachConsensus(this.consensus.getRef()));
		report(new ConsensusReport.LeadershipChanged(true, TERM, Optional.of(SELF)));
		commit(2, new BatchCommand.CancelJob("none"));
		Truth.assertThat(status("dc1").closing()).hasValue(new DataCentreClosing("dc1", 5, "operator"));
	}

	/**
	 * Guards against an order that is refused by a deposed leader, which may not know the
	 * runners of the data centre.
	 */
	@Test
	void anUnknownDataCentreIsRefusedOnceAMajorityHasConfirmedTheLeadership() {
		lead();
		Truth.assertThat(answerOnceConfirmed(new FleetCall.CloseDataCentre("dc9", "operator")))
			.isEqualTo(new FleetReply.Refused(FleetReply.Reason.NO_SUCH_DATA_CENTRE, Optional.empty()));
	}

	/** Guards against an acknowledgement by a leader that was deposed meanwhile. */
	@Test
	void aDepartureIsNotAcknowledgedIfTheLeaderStepsDownBeforeItIsCommitted() {
		lead();
		this.scheduler.tell(new SchedulerCommand.Call(new FleetCall.Leave("runner"), replyPort()));
		report(new ConsensusReport.Proposed(nextProposal().tag(), 2));
		report(new ConsensusReport.LeadershipChanged(false, TERM + 1, Optional.empty()));
		Truth.assertThat(this.replies.receiveMessage()).isEqualTo(new FleetReply.Unknown());
	}

	/**
	 * Guards against a deposed leader that acknowledges the departure of a runner that
	 * only the present one knows.
	 */
	@Test
	void aDepartureThatChangesNothingIsNotAcknowledgedBeforeAMajorityHasConfirmedTheLeadership() {
		lead();
		this.scheduler.tell(new SchedulerCommand.Call(new FleetCall.Leave("unknown"), replyPort()));
		this.replies.expectNoMessage(Duration.ofMillis(100));
		completeReads(false);
		completeReads(false);
		Truth.assertThat(this.replies.receiveMessage()).isInstanceOf(FleetReply.NotLeader.class);
	}

	/**
	 * Guards against a leader that repeats rejected decisions without a pause while it
	 * waits for the end of a leadership transfer.
	 */
	@Test
	void afterARejectedProposalNothingIsProposedUntilTheNextTick() {
		lead();
		announceNewRunner();
		report(new ConsensusReport.NotProposed(nextProposal().tag()));
		Truth.assertThat(this.replies.receiveMessage()).isInstanceOf(FleetReply.NotLeader.class);
		announceNewRunner();
		Truth.assertThat(this.replies.receiveMessage()).isInstanceOf(FleetReply.NotLeader.class);
		this.time.timePasses(Duration.ofMillis(40));
		announceNewRunner();
		nextProposal();
	}

	/**
	 * Guards against two simultaneous runs of a task. Occurs when decisions start again
	 * while an accepted proposal is open: a release in it counts although the run has
	 * been ordered in the meantime.
	 */
	@Test
	void afterARejectedProposalDecisionsStartAgainOnceTheAcceptedOnesAreCommitted() {
		lead();
		announceNewRunner();
		ConsensusCommand.Propose accepted = nextProposal();
		report(new ConsensusReport.Proposed(accepted.tag(), 2));
		announceNewRunner();
		report(new ConsensusReport.NotProposed(nextProposal().tag()));
		Truth.assertThat(this.replies.receiveMessage()).isInstanceOf(FleetReply.NotLeader.class);
		this.time.timePasses(Duration.ofMillis(80));
		announceNewRunner();
		Truth.assertThat(this.replies.receiveMessage()).isInstanceOf(FleetReply.NotLeader.class);
		report(new ConsensusReport.Committed(
				List.of(new LogEntry(2, TERM, new EntryContent.CommandContent(accepted.payload()))), false));
		Truth.assertThat(this.replies.receiveMessage()).isInstanceOf(FleetReply.Accepted.class);
		this.time.timePasses(Duration.ofMillis(40));
		announce("another-runner", "label");
		nextProposal();
	}

	/**
	 * Guards against two simultaneous runs of a task. Occurs when decisions that started
	 * again in the same term take a listing that was requested before for the answer to
	 * their own heartbeat, so that runs started since count as missing.
	 */
	@Test
	void anAnswerToDecisionsThatWereDroppedIsNotTakenForOneToTheNewDecisions() {
		lead();
		completeReads(true);
		RunnerChannel.Send earlier = this.runners.expectMessageClass(RunnerChannel.Send.class);
		announceNewRunner();
		report(new ConsensusReport.NotProposed(nextProposal().tag()));
		this.replies.receiveMessage();
		this.runners.expectMessageClass(RunnerChannel.Close.class);
		this.steadyMillis.addAndGet(40);
		this.time.timePasses(Duration.ofMillis(40));
		this.runners.expectMessageClass(RunnerChannel.Send.class);
		answer(earlier, emptyListing());
		this.runners.expectNoMessage(Duration.ofMillis(100));
	}

	/**
	 * Guards against a log entry that no link to another member takes, so that the
	 * members lose their leader without a failure. Occurs when several large commands
	 * arrive while the scheduler is busy.
	 */
	@Test
	void largeCommandsThatArriveTogetherAreProposedInSeveralEntries() {
		lead();
		CountDownLatch allSent = new CountDownLatch(1);
		this.scheduler.tell(new SchedulerCommand.Call(new FleetCall.Announce(RUNNER, 1), (reply) -> await(allSent)));
		for (int runner = 0; runner < 4; runner++) {
			announce("large-" + runner, "x".repeat(BatchSettings.MAXIMUM_FRAME_BYTES / 3));
		}
		allSent.countDown();
		for (int runner = 0; runner < 4; runner++) {
			ConsensusCommand.Propose proposal = nextProposal();
			Truth.assertThat(proposal.payload().lengthBytes()).isLessThan(BatchSettings.MAXIMUM_FRAME_BYTES);
			report(new ConsensusReport.Proposed(proposal.tag(), 2 + runner));
			report(new ConsensusReport.Committed(
					List.of(new LogEntry(2 + runner, TERM, new EntryContent.CommandContent(proposal.payload()))),
					false));
			Truth.assertThat(this.replies.receiveMessage()).isInstanceOf(FleetReply.Accepted.class);
		}
	}

	@Test
	void aCommandThatIsTooLargeForAnEntryIsRefused() {
		lead();
		announce("large", "x".repeat(BatchSettings.MAXIMUM_FRAME_BYTES));
		Truth.assertThat(this.replies.receiveMessage())
			.isEqualTo(new FleetReply.Refused(FleetReply.Reason.INVALID, Optional.empty()));
		announceNewRunner();
		Truth.assertThat(nextProposal().payload().lengthBytes()).isLessThan(1_000);
	}

	/** A leader that was elected and cut off at once must not contact the runners. */
	@Test
	void noRunnerIsContactedBeforeAMajorityHasConfirmedTheLeadership() {
		lead();
		ConsensusCommand.Read read = nextRead();
		this.runners.expectNoMessage(Duration.ofMillis(100));
		report(new ConsensusReport.ReadDone(read.number(), ReadOutcome.READABLE_AND_SENDABLE));
		Truth.assertThat(this.runners.expectMessageClass(RunnerChannel.Send.class).dispatch().order().fencingToken())
			.isEqualTo(TERM);
	}

	@Test
	void anOrderThatIsStillQueuedWhenTheProcessWakesUpFromAPauseIsNotSent() {
		lead();
		completeReads(true);
		RunnerChannel.Send order = this.runners.expectMessageClass(RunnerChannel.Send.class);
		Truth.assertThat(order.condition().maySend()).isTrue();
		this.steadyMillis.addAndGet(2_000);
		Truth.assertThat(order.condition().maySend()).isFalse();
	}

	/** The monotonic clock does not count the time for which a host is suspended. */
	@Test
	void anOrderThatIsStillQueuedWhenTheHostResumesFromASuspensionIsNotSent() {
		lead();
		completeReads(true);
		RunnerChannel.Send order = this.runners.expectMessageClass(RunnerChannel.Send.class);
		this.wallMillis.addAndGet(2_000);
		Truth.assertThat(order.condition().maySend()).isFalse();
	}

	@Test
	void afterAPauseNothingIsOrderedUntilTheLeadershipIsConfirmedAgain() {
		lead();
		completeReads(true);
		RunnerChannel.Send order = this.runners.expectMessageClass(RunnerChannel.Send.class);
		this.steadyMillis.addAndGet(2_000);
		this.wallMillis.addAndGet(2_000);
		answer(order, RunnerReply.NoAnswer.NOT_SENT);
		ConsensusCommand.Read read = nextRead();
		this.runners.expectNoMessage(Duration.ofMillis(100));
		report(new ConsensusReport.ReadDone(read.number(), ReadOutcome.READABLE_AND_SENDABLE));
		this.steadyMillis.addAndGet(1_000);
		this.time.timePasses(Duration.ofMillis(40));
		completeReads(true);
		this.runners.expectMessageClass(RunnerChannel.Send.class);
	}

	@Test
	void nothingIsOrderedAfterTheMajorityHasRefusedTheConfirmation() {
		lead();
		completeReads(false);
		report(new ConsensusReport.LeadershipChanged(false, TERM + 1, Optional.empty()));
		this.time.timePasses(Duration.ofMillis(200));
		this.runners.expectNoMessage(Duration.ofMillis(100));
	}

	/**
	 * Guards against orders of a leader whose successor may be elected at once, because
	 * the leadership is being transferred.
	 */
	@Test
	void duringALeadershipTransferCallsAreAnsweredAndNothingIsOrdered() {
		lead();
		this.scheduler.tell(new SchedulerCommand.Call(new FleetCall.ReadConfiguration(), replyPort()));
		report(new ConsensusReport.ReadDone(nextRead().number(), ReadOutcome.READABLE));
		this.steadyMillis.addAndGet(200);
		this.time.timePasses(Duration.ofMillis(40));
		report(new ConsensusReport.ReadDone(nextRead().number(), ReadOutcome.READABLE));
		Truth.assertThat(this.replies.receiveMessage()).isNotInstanceOf(FleetReply.NotLeader.class);
		this.runners.expectNoMessage(Duration.ofMillis(100));
	}

	/**
	 * Guards against a runner that is never contacted again because its channel failed
	 * with an order in flight.
	 */
	@Test
	void aRunnerIsContactedAgainAfterItsChannelHasFailed() {
		lead();
		this.failingChannels.set(1);
		completeReads(true);
		this.runners.expectNoMessage(Duration.ofMillis(100));
		for (int second = 0; second < 2; second++) {
			this.steadyMillis.addAndGet(1_000);
			this.wallMillis.addAndGet(1_000);
			this.time.timePasses(Duration.ofMillis(40));
			completeReads(true);
		}
		this.runners.expectMessageClass(RunnerChannel.Send.class);
	}

	@Test
	void aMoveThatDoesNotEndIsRecordedAsOverdueEachSecond() {
		lead();
		commit(2, new BatchCommand.SetMove("host", "other", MovePhase.ORDERED));
		for (int second = 0; second < 45; second++) {
			this.steadyMillis.addAndGet(1_000);
			this.wallMillis.addAndGet(1_000);
			this.time.timePasses(Duration.ofMillis(40));
			// The scheduler handles its messages in order, so the answer follows the
			// decisions of the tick.
			this.scheduler.tell(new SchedulerCommand.Call(new FleetCall.Announce(RUNNER, second), replyPort()));
			this.replies.receiveMessage();
		}
		for (int number = 0; number < 3; number++) {
			Event overdue = nextEvent(EventKind.BATCH_OVERDUE, "MOVE_WITHOUT_END");
			Truth.assertThat(overdue.fields()).containsEntry(EventField.COUNT, "1");
			Truth.assertThat(overdue.fields().get(EventField.DETAIL)).startsWith("host to other (");
		}
	}

	/** Guards against a late announcement that changes the state or leaves no trace. */
	@Test
	void aLateAnnouncementIsAcknowledgedWithoutEffectAndLeavesAnEvent() {
		lead();
		commit(2, new BatchCommand.RegisterRunner(RUNNER.withoutNewTasks(), OptionalLong.of(6)));
		this.scheduler.tell(new SchedulerCommand.Call(new FleetCall.Announce(RUNNER, 5), replyPort()));
		Truth.assertThat(this.replies.receiveMessage()).isEqualTo(new FleetReply.Accepted());
		Event outdated = nextEvent(EventKind.ANNOUNCEMENT_OUTDATED, "READY");
		Truth.assertThat(outdated.fields()).containsEntry(EventField.SEQUENCE, "5");
		Truth.assertThat(outdated.fields()).containsEntry(EventField.RUNNER, "runner@5");
	}

	private static RunnerReply emptyListing() {
		return new RunnerReply.Listing(1, OptionalLong.of(RUNNER.key().bornMillis()), List.of(), List.of(), true);
	}

	private static void answer(RunnerChannel.Send order, RunnerReply reply) {
		order.replyTo().tell(new RunnerChannel.Answered(order.dispatch(), reply));
	}

	private Event nextEvent(EventKind kind, String state) {
		Event event = this.events.expectMessageClass(EventLog.Append.class).event();
		while (event.kind() != kind || !state.equals(event.fields().get(EventField.STATE))) {
			event = this.events.expectMessageClass(EventLog.Append.class).event();
		}
		return event;
	}

	private void lead() {
		this.scheduler.tell(new SchedulerCommand.AttachConsensus(this.consensus.getRef()));
		report(new ConsensusReport.LeadershipChanged(true, TERM, Optional.of(SELF)));
		commit(1, new BatchCommand.RegisterRunner(RUNNER, OptionalLong.of(1)));
	}

	private void commit(long index, BatchCommand command) {
		commit(index, TERM, command);
	}

	private void commit(long index, long term, BatchCommand command) {
		Payload payload = Payload
			.of(new CborCommandGroupCodec().encode(new CommandGroup(this.wallMillis.get(), List.of(command))));
		report(new ConsensusReport.Committed(
				List.of(new LogEntry(index, term, new EntryContent.CommandContent(payload))), false));
	}

	private void commit(long index, ConsensusCommand.Propose proposal) {
		report(new ConsensusReport.Committed(
				List.of(new LogEntry(index, TERM, new EntryContent.CommandContent(proposal.payload()))), false));
	}

	private void commitNextProposal(long index) {
		ConsensusCommand.Propose proposal = nextProposal();
		report(new ConsensusReport.Proposed(proposal.tag(), index));
		commit(index, proposal);
	}

	private void call(FleetCall call) {
		this.scheduler.tell(new SchedulerCommand.Call(call, replyPort()));
	}

	private FleetReply.DataCentreStatus status(String dataCentre) {
		return ((FleetReply.DataCentres) answerOnceConfirmed(new FleetCall.LookAtDataCentres())).dataCentres()
			.stream()
			.filter((known) -> known.name().equals(dataCentre))
			.findFirst()
			.orElseThrow();
	}

	private FleetReply answerOnceConfirmed(FleetCall call) {
		BlockingQueue<FleetReply> answers = new LinkedBlockingQueue<>();
		this.scheduler.tell(new SchedulerCommand.Call(call, answers::add));
		Truth.assertThat(poll(answers)).isNull();
		// The call may share the confirmation that a new leader asks for.
		FleetReply reply = null;
		while (reply == null) {
			completeReads(true);
			reply = poll(answers);
		}
		return reply;
	}

	private static FleetReply poll(BlockingQueue<FleetReply> answers) {
		try {
			return answers.poll(500, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private void announceNewRunner() {
		announce("new-runner", "label");
	}

	private void announce(String id, String label) {
		RunnerRecord announced = new RunnerRecord(new RunnerKey(id, 5), Optional.of("host-of-" + id), "pool",
				"10.0.0.3:1", "dc1", Optional.empty(), Resources.NONE, Set.of(label), false);
		this.scheduler.tell(new SchedulerCommand.Call(new FleetCall.Announce(announced, 1), replyPort()));
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	private static FleetCall explanationOf(String job) {
		return new FleetCall.ExplainPlacement(Optional.of(job), Optional.empty());
	}

	private void completeReads(boolean confirmed) {
		ConsensusCommand.Read read = nextRead();
		report(new ConsensusReport.ReadDone(read.number(),
				confirmed ? ReadOutcome.READABLE_AND_SENDABLE : ReadOutcome.REFUSED));
	}

	private ConsensusCommand.Read nextRead() {
		return next(ConsensusCommand.Read.class);
	}

	private ConsensusCommand.Propose nextProposal() {
		return next(ConsensusCommand.Propose.class);
	}

	private <C extends ConsensusCommand> C next(Class<C> type) {
		ConsensusCommand command = this.consensus.receiveMessage();
		while (!type.isInstance(command)) {
			command = this.consensus.receiveMessage();
		}
		return type.cast(command);
	}

	private void report(ConsensusReport report) {
		this.scheduler.tell(new SchedulerCommand.FromConsensus(report));
	}

	private ReplyPort replyPort() {
		return (reply) -> this.replies.getRef().tell(reply);
	}

	private static LeaderSettings settings() {
		return new LeaderSettings(new SessionSettings(6_000, 1_000, 700, 300, 150, 2_200),
				new WaveSettings(3_000, 3_000, 2_000, 5_000, 400),
				new BalanceSettings(3_000, 1_700, 1_500, 2_500, 400, 1_500), 60_000, 64);
	}

}
