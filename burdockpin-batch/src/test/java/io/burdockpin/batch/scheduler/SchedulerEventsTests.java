package io.burdockpin.batch.scheduler;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import com.google.common.truth.Truth;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.core.batch.lead.LeaderFigures;
import io.burdockpin.core.batch.lead.place.WaitCounts;
import io.burdockpin.core.batch.lead.plan.OrderFigures;
import io.burdockpin.core.batch.lead.pool.BalanceFigures;
import io.burdockpin.core.batch.lead.run.ReleaseReason;
import io.burdockpin.core.batch.lead.run.RunRelease;
import io.burdockpin.core.batch.lead.run.RunnerDispatch;
import io.burdockpin.core.batch.lead.run.RunnerOrder;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.batch.state.CommandResult;
import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.model.Resources;
import io.burdockpin.runtime.event.EventLog;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against two runs of a task of which the log does not say who ordered them and
 * why the first one was given up.
 */
class SchedulerEventsTests {

	private static final RunnerRecord RUNNER = new RunnerRecord(new RunnerKey("runner", 5), Optional.of("host"), "pool",
			"10.0.0.2:1", "dc1", Optional.empty(), Resources.NONE, Set.of(), false);

	private static final TaskId TASK = new TaskId("job", 0, 1, 2);

	private static final long SESSION = 77;

	private final ActorTestKit testKit = ActorTestKit.create();

	private final TestProbe<EventLog.Command> log = this.testKit.createTestProbe();

	private final SchedulerEvents events = new SchedulerEvents(this.log.getRef(), () -> Instant.ofEpochMilli(1));

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	/** Guards against tasks that stay in a closed data centre without a sign of it. */
	@Test
	void aClosingAndItsEndAreRecordedWithTheirOriginAndTheTasksStillThere() {
		BatchState state = new BatchState();
		apply(state, new BatchCommand.RegisterRunner(RUNNER, OptionalLong.of(1)));
		BatchCommand close = new BatchCommand.CloseDataCentre("dc1", "operator");
		apply(state, close);
		this.events.applied(7, close, CommandResult.APPLIED, state, (task, run) -> Optional.empty());
		expect(EventKind.DATA_CENTRE_CLOSED, Map.of(EventField.INDEX, "7", EventField.DATA_CENTRE, "dc1",
				EventField.ORIGIN, "operator", EventField.SINCE_MILLIS, "50", EventField.COUNT, "0"));
		this.events.foundClosed(4, state);
		expect(EventKind.DATA_CENTRE_CLOSED, Map.of(EventField.TERM, "4", EventField.DATA_CENTRE, "dc1",
				EventField.ORIGIN, "operator", EventField.SINCE_MILLIS, "50", EventField.COUNT, "0"));
		BatchCommand open = new BatchCommand.OpenDataCentre("dc1", "other operator");
		apply(state, open);
		this.events.applied(8, open, CommandResult.APPLIED, state, (task, run) -> Optional.empty());
		expect(EventKind.DATA_CENTRE_OPENED, Map.of(EventField.INDEX, "8", EventField.DATA_CENTRE, "dc1",
				EventField.ORIGIN, "other operator", EventField.COUNT, "0"));
	}

	@Test
	void theLoadNamesTheTasksInClosedDataCentresOnlyWhileOneIsClosed() {
		BatchState state = new BatchState();
		LeaderLoad.Period period = new LeaderLoad.Period(1_000, 0, 0, 0, 0, 0, 0);
		this.events.load(3, period, figures(OrderFigures.NONE, BalanceFigures.NONE), state);
		Truth.assertThat(nextFields()).doesNotContainKey(EventField.CLOSED_TASKS);
		apply(state, new BatchCommand.CloseDataCentre("dc1", "operator"));
		this.events.load(3, period, figures(OrderFigures.NONE, BalanceFigures.NONE), state);
		Truth.assertThat(nextFields()).containsEntry(EventField.CLOSED_TASKS, "0");
	}

	private static LeaderFigures figures(OrderFigures order, BalanceFigures hosts) {
		return new LeaderFigures(order, 7, new WaitCounts(0, 0), hosts);
	}

	private Map<EventField, String> nextFields() {
		return this.log.expectMessageClass(EventLog.Append.class).event().fields();
	}

	private static void apply(BatchState state, BatchCommand command) {
		state.apply(new CommandGroup(50, List.of(command)));
	}

	/**
	 * Guards against hosts that are held or moved because of a forecast that nobody sees.
	 */
	@Test
	void theLoadOfALeaderNamesTheHostsOfItsPoolsAndTheRecognisedPeriod() {
		LeaderLoad.Period period = new LeaderLoad.Period(1_000, 1, 2, 3, 4, 5, 6);
		this.events.load(3, period,
				figures(OrderFigures.NONE, new BalanceFigures(90, 12, 7, 41.6, OptionalLong.of(8_000))),
				new BatchState());
		Map<EventField, String> fields = next(EventKind.LEADER_LOAD).fields();
		Truth.assertThat(fields).containsEntry(EventField.HOSTS, "90");
		Truth.assertThat(fields).containsEntry(EventField.WAITING_STEPS, "7");
		Truth.assertThat(fields).containsEntry(EventField.JOB_UNITS, "0");
		Truth.assertThat(fields).containsEntry(EventField.IDLE_HOSTS, "12");
		Truth.assertThat(fields).containsEntry(EventField.MOVING_HOSTS, "7");
		Truth.assertThat(fields).containsEntry(EventField.EXPECTED_HOSTS, "42");
		Truth.assertThat(fields).containsEntry(EventField.PERIOD_MILLIS, "8000");
	}

	@Test
	void aStartIsRecordedWithItsTermAndSession() {
		this.events.runnerOrdered(dispatch(new RunnerOrder.Start(3, TASK, 4, "", "", 9)));
		expect(EventKind.RUN_ORDERED,
				Map.of(EventField.JOB, "job", EventField.TASK, TASK.toString(), EventField.RUN, "4", EventField.RUNNER,
						"runner@5", EventField.TERM, "3", EventField.STATE, "Start", EventField.SESSION, "77"));
	}

	@Test
	void aStartThatIsNotAcceptedIsRecordedWithItsReply() {
		RunnerDispatch order = dispatch(new RunnerOrder.Start(3, TASK, 4, "", "", 9));
		this.events.runnerReplied(order, new RunnerReply.Accepted(1));
		this.events.runnerReplied(order, RunnerReply.NoAnswer.UNKNOWN);
		Truth.assertThat(next(EventKind.RUN_ORDER_FAILED).fields()).containsEntry(EventField.CODE, "UNKNOWN");
		this.events.runnerReplied(order, new RunnerReply.Refused(RunnerReply.Refusal.OUTDATED, OptionalLong.empty()));
		Truth.assertThat(next(EventKind.RUN_ORDER_FAILED).fields()).containsEntry(EventField.CODE, "OUTDATED");
	}

	@Test
	void aReleaseIsRecordedWithItsRunnerAndReason() {
		this.events.released(3, new RunRelease(new BatchCommand.Release(TASK, 4, "checkpoint"), RUNNER.key(), SESSION,
				ReleaseReason.LEASE_EXPIRED));
		expect(EventKind.RUN_RELEASED,
				Map.of(EventField.JOB, "job", EventField.TASK, TASK.toString(), EventField.RUN, "4", EventField.RUNNER,
						"runner@5", EventField.TERM, "3", EventField.CODE, "LEASE_EXPIRED", EventField.SESSION, "77"));
	}

	@Test
	void anAcknowledgementIsRecordedOnceForEachNumber() {
		this.events.runnerOrdered(dispatch(new RunnerOrder.Heartbeat(3, 0, OptionalLong.empty(), 0)));
		this.events.runnerOrdered(dispatch(new RunnerOrder.Heartbeat(3, 6, OptionalLong.empty(), 0)));
		this.events.runnerOrdered(dispatch(new RunnerOrder.Heartbeat(3, 6, OptionalLong.empty(), 0)));
		this.events.runnerOrdered(dispatch(new RunnerOrder.Heartbeat(3, 8, OptionalLong.empty(), 0)));
		Truth.assertThat(next(EventKind.ENDS_ACKNOWLEDGED).fields()).containsEntry(EventField.END, "6");
		expect(EventKind.ENDS_ACKNOWLEDGED, Map.of(EventField.RUNNER, "runner@5", EventField.TERM, "3", EventField.END,
				"8", EventField.SESSION, "77"));
	}

	/** Guards against an event log that is flooded by an overload. */
	@Test
	void rejectionsBecauseOfOverloadAreRecordedOnceInAWhile() {
		this.events.rejected(3, new FleetReply.Refused(FleetReply.Reason.KEY_REFUSED, Optional.empty()));
		this.events.rejected(3, new FleetReply.Refused(FleetReply.Reason.OVERLOADED, Optional.of(4_000)));
		this.events.rejected(3, new FleetReply.Refused(FleetReply.Reason.OVERLOADED, Optional.of(4_000)));
		expect(EventKind.CALL_REFUSED, Map.of(EventField.TERM, "3", EventField.CODE, "OVERLOADED", EventField.COUNT,
				"1", EventField.MILLIS, "4000"));
		this.log.expectNoMessage();
	}

	/** Guards against a shortage that operators cannot see. */
	@Test
	void theLoadOfTheLeaderNamesTheJobsThatAreDeferred() {
		this.events.load(3, new LeaderLoad.Period(1_000, 1, 2, 3, 4, 5, 6),
				figures(new OrderFigures(1, 20, 30, 40, 50), BalanceFigures.NONE), new BatchState());
		Truth.assertThat(next(EventKind.LEADER_LOAD).fields())
			.containsAtLeast(EventField.SHORT_POOLS, "1", EventField.CHOSEN_JOBS, "20", EventField.DEFERRED_JOBS, "30",
					EventField.BEYOND_WEIGHT_JOBS, "40", EventField.LATE_JOBS, "50");
	}

	private static RunnerDispatch dispatch(RunnerOrder order) {
		return new RunnerDispatch(RUNNER, SESSION, order, 700);
	}

	private void expect(EventKind kind, Map<EventField, String> fields) {
		Truth.assertThat(next(kind).fields()).containsExactlyEntriesIn(fields);
	}

	private Event next(EventKind kind) {
		Event event = this.log.expectMessageClass(EventLog.Append.class).event();
		Truth.assertThat(event.kind()).isEqualTo(kind);
		return event;
	}

}
