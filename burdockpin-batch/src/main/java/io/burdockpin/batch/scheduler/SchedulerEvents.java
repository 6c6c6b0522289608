package io.burdockpin.batch.scheduler;

import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.core.batch.lead.LeaderFigures;
import io.burdockpin.core.batch.lead.host.HostOrder;
import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.lead.overdue.OverdueItem;
import io.burdockpin.core.batch.lead.overdue.OverdueReport;
import io.burdockpin.core.batch.lead.place.WaitNotice;
import io.burdockpin.core.batch.lead.run.RunRelease;
import io.burdockpin.core.batch.lead.run.RunnerContact;
import io.burdockpin.core.batch.lead.run.RunnerDispatch;
import io.burdockpin.core.batch.lead.run.RunnerOrder;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.DataCentreClosing;
import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandResult;
import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.event.HybridClock;
import io.burdockpin.runtime.event.EventLog;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Records committed decisions in the event log, with the index of the log entry, and the
 * orders to runners and hosts. Used by the leader only. Owned by the
 * {@link SchedulerActor}.
 */
final class SchedulerEvents {

	private static final int REJECTION_PERIOD_MILLIS = 100;

	private final ActorRef<EventLog.Command> log;

	private final InstantSource wallClock;

	private final HybridClock hybridClock = new HybridClock();

	/** Number of the last recorded acknowledgement of each runner. */
	private final Map<RunnerKey, Long> acknowledgedEnds = new HashMap<>();

	private long rejectionRecordedMillis = -REJECTION_PERIOD_MILLIS;

	/** Rejections since the last event about them. */
	private int unrecordedRejections;

	SchedulerEvents(ActorRef<EventLog.Command> log, InstantSource wallClock) {
		this.log = log;
		this.wallClock = wallClock;
	}

	void leadershipChanged(boolean leads, long term) {
		record(event(leads ? EventKind.LEADER_ELECTED : EventKind.LEADER_STEPPED_DOWN).with(EventField.TERM, term));
	}

	/**
	 * Records the load of the leader, the figures of its decisions and, while a data
	 * centre is closed, how many tasks are still in closed ones.
	 * @param term the term of the leader
	 * @param period the period that has ended
	 * @param figures the figures of the leader's decisions
	 * @param state the replicated state
	 */
	void load(long term, LeaderLoad.Period period, LeaderFigures figures, BatchState state) {
		Event load = event(EventKind.LEADER_LOAD).with(EventField.TERM, term)
			.with(EventField.MILLIS, period.millis())
			.with(EventField.CALLS, period.calls())
			.with(EventField.CONNECTIONS, period.connections())
			.with(EventField.ORDERS, period.orders())
			.with(EventField.LISTENS, period.heartbeats())
			.with(EventField.BUSY_MILLIS, period.busyMillis())
			.with(EventField.LATE_MILLIS, period.maximumTickDelayMillis())
			.with(EventField.WAITS_PAID, figures.waits().paid())
			.with(EventField.WAITS_UNPAID, figures.waits().unpaid())
			.with(EventField.SHORT_POOLS, figures.order().shortPools())
			.with(EventField.CHOSEN_JOBS, figures.order().chosenJobs())
			.with(EventField.DEFERRED_JOBS, figures.order().deferredJobs())
			.with(EventField.BEYOND_WEIGHT_JOBS, figures.order().beyondWeightJobs())
			.with(EventField.LATE_JOBS, figures.order().lateJobs())
			.with(EventField.JOB_UNITS, state.jobUnits())
			.with(EventField.WAITING_STEPS, figures.waitingSteps())
			.with(EventField.HOSTS, figures.hosts().hosts())
			.with(EventField.IDLE_HOSTS, figures.hosts().idleHosts())
			.with(EventField.MOVING_HOSTS, figures.hosts().movingHosts())
			.with(EventField.EXPECTED_HOSTS, Math.round(figures.hosts().expectedHosts()));
		if (figures.hosts().periodMillis().isPresent()) {
			load = load.with(EventField.PERIOD_MILLIS, figures.hosts().periodMillis().getAsLong());
		}
		record(state.closedDataCentres().isEmpty() ? load : load.with(EventField.CLOSED_TASKS,
				state.closedDataCentres().keySet().stream().mapToInt(state::runCountIn).sum()));
	}

	/**
	 * Records the data centres that a new leader finds closed. The leader that committed
	 * a closing may have been lost before it recorded it.
	 * @param term the term of the leader
	 * @param state the replicated state
	 */
	void foundClosed(long term, BatchState state) {
		state.closedDataCentres()
			.values()
			.forEach((closing) -> record(
					closed(event(EventKind.DATA_CENTRE_CLOSED), closing, state).with(EventField.TERM, term)));
	}

	private static Event closed(Event event, DataCentreClosing closing, BatchState state) {
		return event.with(EventField.DATA_CENTRE, closing.dataCentre())
			.with(EventField.ORIGIN, closing.origin())
			.with(EventField.SINCE_MILLIS, closing.sinceMillis())
			.with(EventField.COUNT, state.runCountIn(closing.dataCentre()));
	}

	/**
	 * Records that tasks wait for a better place, or that their wait ended.
	 * @param term the term of the leader
	 * @param notice the news about one step
	 */
	void placementWait(long term, WaitNotice notice) {
		boolean begins = notice.kind() == WaitNotice.Kind.BEGUN;
		record(event(begins ? EventKind.PLACEMENT_WAITS : EventKind.PLACEMENT_WAIT_ENDED).with(EventField.TERM, term)
			.with(EventField.JOB, notice.step().job())
			.with(EventField.TASK, notice.step())
			.with(EventField.POOL, notice.pool())
			.with(EventField.STATE, notice.kind())
			.with(EventField.CODE, notice.reason())
			.with(EventField.COUNT, notice.count())
			.with(EventField.MILLIS, notice.millis()));
	}

	/**
	 * Records that jobs were rejected because of overload, at most ten times a second.
	 * @param term the term of the leader
	 * @param refused the reply; other reasons are recorded by the process that was called
	 */
	void rejected(long term, FleetReply.Refused refused) {
		if (refused.reason() != FleetReply.Reason.OVERLOADED) {
			return;
		}
		this.unrecordedRejections++;
		long wallMillis = this.wallClock.millis();
		if (wallMillis - this.rejectionRecordedMillis >= REJECTION_PERIOD_MILLIS) {
			record(event(EventKind.CALL_REFUSED).with(EventField.TERM, term)
				.with(EventField.CODE, refused.reason())
				.with(EventField.COUNT, this.unrecordedRejections)
				.with(EventField.MILLIS, refused.retryAfterMillis().orElse(0)));
			this.rejectionRecordedMillis = wallMillis;
			this.unrecordedRejections = 0;
		}
	}

	/**
	 * Records what is overdue of one kind, or that nothing is any more.
	 * @param term the term of the leader
	 * @param report the report of the leader's watch
	 */
	void overdue(long term, OverdueReport report) {
		record(event(EventKind.BATCH_OVERDUE).with(EventField.TERM, term)
			.with(EventField.STATE, report.kind())
			.with(EventField.COUNT, report.count())
			.with(EventField.MILLIS, report.oldestMillis())
			.with(EventField.DETAIL,
					report.oldest().stream().map(OverdueItem::toString).collect(Collectors.joining(", "))));
	}

	/**
	 * Records an order about a host with the age of the last change of an order about the
	 * same host, which may be that of an earlier leader.
	 * @param order the order
	 * @param change the last applied change; empty if it is not known
	 * @param nowMillis the current monotonic time
	 * @param changedWallMillis when that change was proposed, by the wall clock of its
	 * leader
	 */
	void hostOrdered(HostOrder order, Optional<HostOrderHistory.Change> change, long nowMillis,
			long changedWallMillis) {
		Event ordered = event(EventKind.HOST_ORDERED).with(EventField.HOST, order.host())
			.with(EventField.TERM, order.fencingToken())
			.with(EventField.STATE, order.getClass().getSimpleName())
			.with(EventField.CHANGED_WALL_MILLIS, this.wallClock.millis() - changedWallMillis);
		record(change
			.map((known) -> ordered.with(EventField.PREVIOUS_TERM, known.term())
				.with(EventField.CHANGED_MILLIS, nowMillis - known.appliedMillis()))
			.orElse(ordered));
	}

	/**
	 * Records an order to a runner: a start or stop, or a heartbeat that acknowledges
	 * further ends.
	 * @param dispatch the order and the session that it belongs to
	 */
	void runnerOrdered(RunnerDispatch dispatch) {
		runOrder(EventKind.RUN_ORDERED, dispatch).ifPresent(this::record);
		if (dispatch.order() instanceof RunnerOrder.Heartbeat heartbeat) {
			acknowledged(dispatch, heartbeat.acknowledgedEnd());
		}
	}

	private void acknowledged(RunnerDispatch dispatch, long end) {
		if (end > 0 && !Long.valueOf(end).equals(this.acknowledgedEnds.put(dispatch.runner().key(), end))) {
			record(ofSession(EventKind.ENDS_ACKNOWLEDGED, dispatch).with(EventField.END, end));
		}
	}

	/**
	 * Records a start or stop that was not answered with success.
	 * @param dispatch the order and the session that it belongs to
	 * @param reply its reply
	 */
	void runnerReplied(RunnerDispatch dispatch, RunnerReply reply) {
		if (!(reply instanceof RunnerReply.Accepted)) {
			String code = (reply instanceof RunnerReply.Refused refused) ? refused.refusal().name()
					: String.valueOf(reply);
			runOrder(EventKind.RUN_ORDER_FAILED, dispatch)
				.ifPresent((event) -> record(event.with(EventField.CODE, code)));
		}
	}

	private Optional<Event> runOrder(EventKind kind, RunnerDispatch dispatch) {
		Event event = ofSession(kind, dispatch).with(EventField.STATE, dispatch.order().getClass().getSimpleName());
		if (dispatch.order() instanceof RunnerOrder.Start start) {
			return Optional.of(run(event, start.task(), start.run()));
		}
		return (dispatch.order() instanceof RunnerOrder.Stop stop) ? Optional.of(run(event, stop.task(), stop.run()))
				: Optional.empty();
	}

	private Event ofSession(EventKind kind, RunnerDispatch dispatch) {
		return event(kind).with(EventField.RUNNER, dispatch.runner().key())
			.with(EventField.TERM, dispatch.order().fencingToken())
			.with(EventField.SESSION, dispatch.sessionOpenedMillis());
	}

	/**
	 * Records that the release of a run was proposed.
	 * @param term the term of the leader
	 * @param release the release with its reason
	 */
	void released(long term, RunRelease release) {
		record(run(event(EventKind.RUN_RELEASED), release.release().task(), release.release().run())
			.with(EventField.RUNNER, release.runner())
			.with(EventField.TERM, term)
			.with(EventField.CODE, release.reason())
			.with(EventField.SESSION, release.sessionOpenedMillis()));
	}

	/**
	 * Records that a late announcement had no effect.
	 * @param term the term of the leader
	 * @param announced the announcement
	 */
	void announcementOutdated(long term, FleetCall.Announce announced) {
		record(event(EventKind.ANNOUNCEMENT_OUTDATED).with(EventField.TERM, term)
			.with(EventField.RUNNER, announced.runner().key())
			.with(EventField.STATE, stateOf(announced.runner()))
			.with(EventField.SEQUENCE, announced.sequence()));
	}

	/** Forgets which ends were acknowledged, because the leader is replaced. */
	void leaderDropped() {
		this.acknowledgedEnds.clear();
	}

	/**
	 * Records a command that took effect.
	 * @param index the index of its log entry
	 * @param command the command as committed
	 * @param result the result of the command; only {@link CommandResult#APPLIED} is
	 * recorded
	 * @param state the state after the command
	 * @param contacts finds the contact with the runner of a run
	 */
	void applied(long index, BatchCommand command, CommandResult result, BatchState state, Contacts contacts) {
		if (result != CommandResult.APPLIED) {
			return;
		}
		if (command instanceof BatchCommand.AssignRuns assigned) {
			assigned.assignments()
				.forEach((assignment) -> record(
						runEvent(EventKind.JOB_PLACED, index, assignment.task(), assignment.run())
							.with(EventField.RUNNER, assignment.runner())));
		}
		else if (command instanceof BatchCommand.NoteEnds recorded) {
			endsRecorded(index, recorded, state, contacts);
		}
		else if (command instanceof BatchCommand.CloseDataCentre close) {
			Optional.ofNullable(state.closedDataCentres().get(close.dataCentre()))
				.ifPresent((closing) -> record(closed(indexed(EventKind.DATA_CENTRE_CLOSED, index), closing, state)));
		}
		else if (command instanceof BatchCommand.OpenDataCentre open) {
			record(indexed(EventKind.DATA_CENTRE_OPENED, index).with(EventField.DATA_CENTRE, open.dataCentre())
				.with(EventField.ORIGIN, open.origin())
				.with(EventField.COUNT, state.runCountIn(open.dataCentre())));
		}
		else if (command instanceof BatchCommand.ReleaseRuns released) {
			released.releases()
				.forEach(
						(release) -> record(withContact(
								runEvent(EventKind.RUN_ENDED, index, release.task(), release.run())
									.with(EventField.OUTCOME, "RELEASED"),
								contacts.find(release.task(), release.run()))));
		}
		else {
			singleEvent(index, command).ifPresent(this::record);
		}
	}

	private void endsRecorded(long index, BatchCommand.NoteEnds recorded, BatchState state, Contacts contacts) {
		for (BatchCommand.End end : recorded.ends()) {
			Event ended = runEvent(EventKind.RUN_ENDED, index, end.task(), end.run())
				.with(EventField.RUNNER, recorded.runner())
				.with(EventField.OUTCOME, end.outcome());
			record((end.outcome() == RunOutcome.LAPSED) ? withContact(ended, contacts.find(end.task(), end.run()))
					: ended);
		}
		List<String> jobs = recorded.ends().stream().map((end) -> end.task().job()).distinct().toList();
		jobs.forEach((id) -> state.job(id)
			.map(BatchJob::phase)
			.filter((phase) -> phase == BatchJobPhase.COMPLETED || phase == BatchJobPhase.FAILED)
			.ifPresent((phase) -> record(
					indexed(EventKind.JOB_ENDED, index).with(EventField.JOB, id).with(EventField.STATE, phase))));
	}

	private Optional<Event> singleEvent(long index, BatchCommand command) {
		if (command instanceof BatchCommand.SetConfiguration set) {
			return Optional.of(indexed(EventKind.CONFIGURATION_APPLIED, index).with(EventField.VERSION,
					set.configuration().version()));
		}
		if (command instanceof BatchCommand.SubmitJob submitted) {
			return Optional.of(indexed(EventKind.JOB_SUBMITTED, index).with(EventField.JOB, submitted.id())
				.with(EventField.QUEUE, submitted.queue())
				.with(EventField.TEAM, submitted.workspace()));
		}
		if (command instanceof BatchCommand.CancelJob cancelled) {
			return Optional.of(indexed(EventKind.JOB_ENDED, index).with(EventField.JOB, cancelled.id())
				.with(EventField.STATE, BatchJobPhase.CANCELLED));
		}
		if (command instanceof BatchCommand.RegisterRunner registered) {
			Event attached = indexed(EventKind.RUNNER_ATTACHED, index)
				.with(EventField.RUNNER, registered.runner().key())
				.with(EventField.HOST, registered.runner().hostOrId())
				.with(EventField.POOL, registered.runner().pool())
				.with(EventField.STATE, registered.isDeparture() ? "LEAVING" : stateOf(registered.runner()));
			return Optional
				.of(registered.isDeparture() ? attached : with(attached, EventField.SEQUENCE, registered.sequence()));
		}
		if (command instanceof BatchCommand.RemoveRunner removed) {
			return Optional.of(removed(index, removed.runner()));
		}
		if (command instanceof BatchCommand.SetUpkeep upkeep) {
			return Optional.of(indexed(EventKind.UPKEEP_CHANGED, index).with(EventField.WAVE, upkeep.wave())
				.with(EventField.HOST, upkeep.host())
				.with(EventField.STATE, upkeep.phase()));
		}
		if (command instanceof BatchCommand.SetMove move) {
			return Optional.of(indexed(EventKind.HOST_CHANGED, index).with(EventField.HOST, move.host())
				.with(EventField.POOL, move.pool())
				.with(EventField.STATE, move.phase()));
		}
		return Optional.empty();
	}

	private static String stateOf(RunnerRecord runner) {
		return runner.draining() ? "DRAINING" : "READY";
	}

	private Event removed(long index, RunnerKey runner) {
		return indexed(EventKind.RUNNER_REMOVED, index).with(EventField.RUNNER, runner);
	}

	private Event runEvent(EventKind kind, long index, TaskId task, int run) {
		return run(indexed(kind, index), task, run);
	}

	private static Event run(Event event, TaskId task, int run) {
		return event.with(EventField.JOB, task.job()).with(EventField.TASK, task).with(EventField.RUN, run);
	}

	private static Event withContact(Event event, Optional<RunnerContact> contact) {
		Event described = event;
		if (contact.isPresent()) {
			described = with(described, EventField.HEARD_MILLIS, contact.get().contactAgeMillis());
			described = with(described, EventField.GRANTED_MILLIS, contact.get().leaseAgeMillis());
			described = with(described, EventField.OPEN_MILLIS, contact.get().openOrderAgeMillis());
		}
		return described;
	}

	private static Event with(Event event, EventField field, OptionalLong value) {
		return value.isPresent() ? event.with(field, value.getAsLong()) : event;
	}

	private Event indexed(EventKind kind, long index) {
		return event(kind).with(EventField.INDEX, index);
	}

	private Event event(EventKind kind) {
		return Event.of(kind, this.hybridClock.tick(this.wallClock.millis()));
	}

	private void record(Event event) {
		this.log.tell(new EventLog.Append(event));
	}

	/** Finds the leader's contact with the runner of a run. */
	@FunctionalInterface
	interface Contacts {

		/**
		 * Finds the contact.
		 * @param task the task of the run
		 * @param run the number of the run
		 * @return empty if the leader does not track the run
		 */
		Optional<RunnerContact> find(TaskId task, int run);

	}

}
