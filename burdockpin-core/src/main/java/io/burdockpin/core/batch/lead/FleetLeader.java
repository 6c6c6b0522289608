package io.burdockpin.core.batch.lead;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.burdockpin.core.batch.lead.closing.ClosedDataCentres;
import io.burdockpin.core.batch.lead.closing.LongRunningEvacuation;
import io.burdockpin.core.batch.lead.host.HostEntry;
import io.burdockpin.core.batch.lead.host.HostOrder;
import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.lead.host.HostOrderQueue;
import io.burdockpin.core.batch.lead.host.HostOrderUrgency;
import io.burdockpin.core.batch.lead.host.HostReply;
import io.burdockpin.core.batch.lead.overdue.OpenWork;
import io.burdockpin.core.batch.lead.overdue.OverdueReport;
import io.burdockpin.core.batch.lead.overdue.OverdueWatch;
import io.burdockpin.core.batch.lead.place.PlacementExplainer;
import io.burdockpin.core.batch.lead.place.PlacementWait;
import io.burdockpin.core.batch.lead.place.PlacementWaits;
import io.burdockpin.core.batch.lead.place.RunDurations;
import io.burdockpin.core.batch.lead.place.RunEndEstimator;
import io.burdockpin.core.batch.lead.plan.DurationEstimator;
import io.burdockpin.core.batch.lead.plan.FreeCapacity;
import io.burdockpin.core.batch.lead.plan.OverloadAdmission;
import io.burdockpin.core.batch.lead.plan.Plan;
import io.burdockpin.core.batch.lead.plan.TaskPlanner;
import io.burdockpin.core.batch.lead.pool.PoolBalancer;
import io.burdockpin.core.batch.lead.run.FirstContacts;
import io.burdockpin.core.batch.lead.run.JobStartRecorder;
import io.burdockpin.core.batch.lead.run.RunRelease;
import io.burdockpin.core.batch.lead.run.RunSpec;
import io.burdockpin.core.batch.lead.run.RunnerAnnouncements;
import io.burdockpin.core.batch.lead.run.RunnerContact;
import io.burdockpin.core.batch.lead.run.RunnerDispatch;
import io.burdockpin.core.batch.lead.run.RunnerOrder;
import io.burdockpin.core.batch.lead.run.RunnerReliability;
import io.burdockpin.core.batch.lead.run.RunnerReliabilityTracker;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.lead.run.RunnerSession;
import io.burdockpin.core.batch.lead.run.StartPermissions;
import io.burdockpin.core.batch.lead.wave.WaveController;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchJob;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.BatchTask;
import io.burdockpin.core.batch.state.Run;

/**
 * Scheduling logic of a leader during one term: maintains sessions with the runners,
 * places tasks, stops runs and advances maintenance waves. Reads the replicated state
 * after each commit and returns commands to commit and orders to send. Not thread-safe;
 * owned by one actor.
 */
public final class FleetLeader {

	/**
	 * A plan examines all waiting tasks and all runners, so changes within this period
	 * share one. It is far below the latency objectives of the queues.
	 */
	private static final int MINIMUM_PLAN_PERIOD_MILLIS = 15;

	/**
	 * Waiting steps that extend the period of the plans by a millisecond, so that plans
	 * leave processor time for orders and calls, however many steps wait.
	 */
	private static final int STEPS_PER_PERIOD_MILLI = 50;

	/** Runners can become usable again without an event. */
	private static final int MAXIMUM_PLAN_PERIOD_MILLIS = 100;

	/**
	 * Silence, lease expiry and idle timeouts occur without an event, so all runners are
	 * checked once per period. Checking all of them on every message took a fifth of the
	 * leader's CPU time; messages are handled immediately for the runners that they
	 * concern.
	 */
	private static final int SWEEP_PERIOD_MILLIS = 20;

	private final BatchState state;

	private final LeaderSettings settings;

	private final long term;

	private final Map<RunnerKey, RunnerSession> sessions = new LinkedHashMap<>();

	private final RunnerAnnouncements announcements;

	private final RunnerReliabilityTracker reliability = new RunnerReliabilityTracker();

	private final DurationEstimator durationEstimator = new DurationEstimator();

	private final TaskPlanner planner;

	private final RunEndEstimator runEnds;

	private final PlacementWaits placementWaits;

	private final RunDurations runDurations;

	private final WaveController waveController;

	private final PoolBalancer balancer;

	private final HostOrderQueue hostOrders;

	private final FirstContacts firstContacts = new FirstContacts();

	private final JobStartRecorder jobStarts;

	private final StartPermissions startPermissions;

	private final OverdueWatch overdueWatch;

	private final List<BatchCommand> proposals = new ArrayList<>();

	/** Releases that were proposed since they were last drained. */
	private final List<RunRelease> proposedReleases = new ArrayList<>();

	/** Incarnations whose runs were released because they have certainly ended. */
	private final Set<RunnerKey> endingIncarnations = new HashSet<>();

	/** Incarnations of which the removal was proposed. */
	private final Set<RunnerKey> removedIncarnations = new HashSet<>();

	private final OccurrenceOpener occurrences;

	private final ClosedDataCentres closedDataCentres;

	private final LongRunningEvacuation evacuation;

	/** Runners with events since orders were last dispatched. */
	private final Set<RunnerKey> runnersWithEvents = new LinkedHashSet<>();

	private long sweptMillis;

	private long orderedMillis;

	private boolean planInFlight;

	/** Whether a command was applied since the last plan. */
	private boolean changedSincePlan = true;

	private long plannedMillis;

	private Plan latestPlan = Plan.EMPTY;

	private Optional<OverloadAdmission> admission = Optional.empty();

	/**
	 * Creates the leader of a term.
	 * @param state replicated state, with all entries of earlier terms applied
	 * @param settings settings of this leader
	 * @param hostOrderHistory changes of host orders, including those of earlier leaders
	 * @param term term of this leader, used as the fencing token
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public FleetLeader(BatchState state, LeaderSettings settings, HostOrderHistory hostOrderHistory, long term,
			long nowMillis) {
		this.state = state;
		this.settings = settings;
		this.term = term;
		this.announcements = new RunnerAnnouncements(state, nowMillis);
		this.occurrences = new OccurrenceOpener(state);
		this.closedDataCentres = new ClosedDataCentres(state);
		this.evacuation = new LongRunningEvacuation(state);
		this.waveController = new WaveController(state, settings.waves(), hostOrderHistory, term, nowMillis);
		this.balancer = new PoolBalancer(state, settings.balance(), hostOrderHistory, term, nowMillis,
				this.durationEstimator, this.closedDataCentres::isClosedHost);
		this.runDurations = new RunDurations(state, this.durationEstimator);
		this.runEnds = new RunEndEstimator(state, this.durationEstimator, settings.remoteFactor(),
				settings.balance().lookAheadMillis(), this.runDurations::assignedMillis,
				(run) -> session(run.runner()).map((session) -> session.percent(run.task())).orElse(0));
		this.placementWaits = new PlacementWaits(new PlacementWait(settings.remoteFactor()), this.runEnds);
		this.planner = new TaskPlanner(this.durationEstimator, settings.balance().lookAheadMillis(),
				settings.placementOrder(), this.placementWaits);
		this.hostOrders = new HostOrderQueue(settings.hostOrdersPerSecond());
		this.jobStarts = new JobStartRecorder(state);
		this.startPermissions = new StartPermissions(state);
		this.overdueWatch = new OverdueWatch(settings, nowMillis);
		// Sessions are visited in this order, so runners with tasks are contacted before
		// their leases expire.
		state.runners()
			.stream()
			.sorted(Comparator.comparing(this::hasLongRunning).thenComparing(this::hasRuns).reversed())
			.forEach((runner) -> openSession(runner, nowMillis));
	}

	/**
	 * Returns the session with an incarnation of a runner.
	 * @param key incarnation of the runner
	 * @return the session, or empty if the incarnation is not registered
	 */
	public Optional<RunnerSession> session(RunnerKey key) {
		return Optional.ofNullable(this.sessions.get(key));
	}

	/**
	 * Describes the contact with the runner of a run whose end is being committed.
	 * @param task task of the run
	 * @param run number of the run
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return the contact, or empty if no session tracks the run
	 */
	public Optional<RunnerContact> contact(TaskId task, int run, long nowMillis) {
		return this.sessions.values()
			.stream()
			.filter((session) -> session.hasRun(task, run))
			.map((session) -> session.contact(nowMillis))
			.findFirst();
	}

	/**
	 * Returns and clears the proposed commands.
	 * @return commands to commit, in order
	 */
	public List<BatchCommand> drainProposals() {
		this.proposals.addAll(this.waveController.drainProposals());
		this.proposals.addAll(this.balancer.drainProposals());
		List<BatchCommand> drained = List.copyOf(this.proposals);
		this.proposals.clear();
		return drained;
	}

	/**
	 * Returns and clears the releases among the proposals, with their reasons.
	 * @return releases in the order of their proposals
	 */
	public List<RunRelease> drainReleases() {
		List<RunRelease> drained = List.copyOf(this.proposedReleases);
		this.proposedReleases.clear();
		return drained;
	}

	/**
	 * Returns what explains the next placement round.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @param wallMillis current wall-clock time, in milliseconds since the epoch
	 * @return explainer with the inputs that the next round would have
	 */
	public PlacementExplainer explainer(long nowMillis, long wallMillis) {
		Set<RunnerKey> drained = drainedRunners();
		this.runEnds.setTime(nowMillis, wallMillis);
		return new PlacementExplainer(this.durationEstimator, this.settings.balance().lookAheadMillis(),
				this.settings.placementOrder(), this.placementWaits, usableRunners(drained, nowMillis), drained,
				(runner) -> this.reliability.reliability(runner, nowMillis), wallMillis);
	}

	/**
	 * Returns the waits for better places, for the event log.
	 * @return the waits of this leader
	 */
	public PlacementWaits placementWaits() {
		return this.placementWaits;
	}

	/**
	 * Returns the orders to send to runners and marks them as sent.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return orders to send
	 */
	public List<RunnerDispatch> dueOrders(long nowMillis) {
		List<RunnerDispatch> due = new ArrayList<>();
		this.firstContacts.refill(nowMillis);
		boolean sweeps = nowMillis - this.orderedMillis >= SWEEP_PERIOD_MILLIS;
		if (sweeps) {
			this.orderedMillis = nowMillis;
		}
		sessionsToVisit(sweeps).stream().filter((session) -> !isBeingRemoved(session)).forEach((session) -> {
			this.startPermissions.revokedIn(session).forEach((run) -> revokeStart(run.task()));
			session.nextOrder(nowMillis).ifPresent((order) -> due.add(dispatch(session, order)));
			this.firstContacts.nextHeartbeat(session, nowMillis)
				.ifPresent((order) -> due.add(dispatch(session, order)));
		});
		this.runnersWithEvents.clear();
		return due;
	}

	/**
	 * Returns the host orders to send to the platform and marks them as sent.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return orders to send, limited to the rate that the platform accepts
	 */
	public List<HostOrder> dueHostOrders(long nowMillis) {
		List<HostOrder> orders = new ArrayList<>(this.waveController.drainOrders());
		orders.addAll(this.balancer.drainOrders());
		this.state.configuration()
			.ifPresent((configuration) -> orders
				.forEach((order) -> this.hostOrders.add(order, HostOrderUrgency.of(order, configuration), nowMillis)));
		Map<Boolean, List<HostOrder>> due = this.hostOrders.take(nowMillis)
			.stream()
			.collect(Collectors.partitioningBy(this.closedDataCentres::isWithdrawn));
		due.get(true).forEach((order) -> onHostReply(order, HostReply.NO_ANSWER, nowMillis));
		return due.get(false);
	}

	/**
	 * Checks whether the platform's host list has to be read, and schedules the next read
	 * if so.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if the caller has to read the list now
	 */
	public boolean startHostListIfDue(long nowMillis) {
		return this.balancer.startHostListIfDue(nowMillis);
	}

	/**
	 * Handles an announcement of a runner.
	 * @param runner announced state of the runner
	 * @param sequence number that increases with each announcement of an incarnation
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return command to commit before the announcement is acknowledged, or empty if
	 * nothing changed or the runner cannot be used
	 */
	public Optional<BatchCommand> onAnnouncement(RunnerRecord runner, long sequence, long nowMillis) {
		return this.announcements.onAnnouncement(runner, sequence, session(runner.key()), nowMillis);
	}

	/**
	 * Tells whether an announcement was overtaken by a later one of the same incarnation
	 * or by its departure, which a leader of any term has acknowledged.
	 * @param incarnation incarnation of the runner
	 * @param sequence number that increases with each announcement of an incarnation
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if the announcement must have no effect
	 */
	public boolean isOutdated(RunnerKey incarnation, long sequence, long nowMillis) {
		return this.announcements.isOutdated(incarnation, sequence, nowMillis);
	}

	/**
	 * Handles the announcement that a runner is leaving. The departure is registered, so
	 * that later leaders know of it too. It has no sequence number and names no
	 * incarnation: if it was of an earlier one, the runner announces itself after all
	 * late announcements have arrived, which ends the departure.
	 * @param id identifier of the runner
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return command to commit before the departure is acknowledged, or empty if the
	 * runner is not registered, is draining or is being removed
	 */
	public Optional<BatchCommand> onDeparture(String id, long nowMillis) {
		Optional<RunnerRecord> registered = this.state.runner(id);
		registered.flatMap((runner) -> session(runner.key())).ifPresent(RunnerSession::onDeparture);
		return registered.filter((runner) -> !runner.draining() && !this.removedIncarnations.contains(runner.key()))
			.map((runner) -> this.announcements.onDeparture(runner, nowMillis));
	}

	/**
	 * Handles the reply of a runner to an order. A reply to an order of another session,
	 * which may be one of earlier decisions in the same term, is ignored: it can be older
	 * than what this session has ordered.
	 * @param dispatch order that was sent
	 * @param reply reply, or the reason why there is none
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void onReply(RunnerDispatch dispatch, RunnerReply reply, long nowMillis) {
		RunnerKey runner = dispatch.runner().key();
		RunnerOrder order = dispatch.order();
		this.runnersWithEvents.add(runner);
		session(runner).filter((session) -> session.openedMillis() == dispatch.sessionOpenedMillis())
			.ifPresent((session) -> {
				this.jobStarts.onReply(runner, order, reply);
				if (order instanceof RunnerOrder.Heartbeat) {
					this.firstContacts.onReply(runner);
					List<BatchCommand.End> ends = session.onHeartbeatReply(reply, nowMillis);
					session.relativeSpeed(nowMillis)
						.ifPresent((speed) -> this.reliability.recordSpeed(runner, speed, nowMillis));
					if (!ends.isEmpty()) {
						this.proposals.add(new BatchCommand.NoteEnds(runner, ends, List.of()));
					}
				}
				else {
					session.onOrderReply(order, reply, nowMillis);
				}
				proposeReleases(session);
			});
	}

	/**
	 * Handles the reply of the platform to a host order.
	 * @param order order that was sent
	 * @param reply reply, or the reason why there is none
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void onHostReply(HostOrder order, HostReply reply, long nowMillis) {
		this.hostOrders.onReply();
		if (order instanceof HostOrder.Maintenance maintenance) {
			this.waveController.onReply(maintenance, reply, nowMillis);
		}
		else if (order instanceof HostOrder.Move move) {
			this.balancer.onReply(move, reply, nowMillis);
		}
	}

	/**
	 * Handles the platform's host list.
	 * @param hosts all hosts of the fleet
	 */
	public void onHostList(List<HostEntry> hosts) {
		this.closedDataCentres.onHostList(hosts);
		this.balancer.onHostList(hosts);
	}

	/**
	 * Returns the figures of the decisions and begins to count anew.
	 * @return figures of the latest rounds
	 */
	public LeaderFigures takeFigures() {
		return new LeaderFigures(this.latestPlan.order(), this.latestPlan.waitingSteps(),
				this.placementWaits.drainCounts(), this.balancer.figures());
	}

	/**
	 * Handles a command that was committed and applied to the state.
	 * @param command applied command
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void onApplied(BatchCommand command, long nowMillis) {
		this.changedSincePlan = true;
		this.startPermissions.onApplied();
		if (command instanceof BatchCommand.AssignRuns assigned) {
			this.planInFlight = false;
			assigned.assignments().forEach((assignment) -> onAssigned(assignment, nowMillis));
		}
		else if (command instanceof BatchCommand.NoteEnds committed) {
			onEndsCommitted(committed, nowMillis);
		}
		else if (command instanceof BatchCommand.ReleaseRuns released) {
			released.releases().forEach(this::onReleased);
		}
		else if (command instanceof BatchCommand.CancelJob cancelled) {
			stopRunsOf(cancelled.id());
		}
		else if (command instanceof BatchCommand.SetConfiguration) {
			stopRunsOfEndedJobs();
		}
		else if (command instanceof BatchCommand.SetUpkeep maintenance) {
			this.waveController.onMaintenanceCommitted(maintenance);
		}
		else if (command instanceof BatchCommand.SetMove move) {
			this.balancer.onMoveCommitted(move.host());
		}
		else if (command instanceof BatchCommand.RemoveRunner removed) {
			// The runner may be registered again in the same log entry, but its runs have
			// ended.
			this.sessions.remove(removed.runner());
			this.removedIncarnations.remove(removed.runner());
			this.endingIncarnations.remove(removed.runner());
			syncSessions(nowMillis);
		}
		else if (command instanceof BatchCommand.RegisterRunner registered) {
			this.announcements.onRegistered(registered);
			syncSessions(nowMillis);
		}
		else if (command instanceof BatchCommand.CloseDataCentre || command instanceof BatchCommand.OpenDataCentre) {
			syncSessions(nowMillis);
		}
	}

	/**
	 * Makes all scheduling decisions that are due.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @param wallMillis current wall-clock time, in milliseconds since the epoch
	 */
	public void decide(long nowMillis, long wallMillis) {
		boolean sweeps = nowMillis - this.sweptMillis >= SWEEP_PERIOD_MILLIS;
		sessionsToVisit(sweeps).forEach((session) -> {
			session.releaseUnorderedRuns(nowMillis);
			session.removeExpiredInheritedRuns(nowMillis);
			proposeReleases(session);
			endIncarnationIfOver(session, nowMillis);
		});
		if (sweeps) {
			this.sweptMillis = nowMillis;
			this.proposals.addAll(this.occurrences.takeDue(wallMillis));
			this.proposals.addAll(this.jobStarts.takeDue(nowMillis));
			this.waveController.tick(this.sessions, nowMillis);
			this.balancer.tick(this.closedDataCentres.openSessions(this.sessions), this.state::hasUnfinishedMaintenance,
					this.hostOrders.size(), nowMillis, wallMillis);
		}
		if (!this.planInFlight && isPlanDue(nowMillis)) {
			this.plannedMillis = nowMillis;
			this.changedSincePlan = false;
			plan(nowMillis, wallMillis);
		}
	}

	/**
	 * Returns the admission of new jobs under the load at the time of the latest plan.
	 * @return decision about jobs that are not known yet
	 */
	public OverloadAdmission admission() {
		if (this.admission.isEmpty()) {
			this.admission = Optional
				.of(OverloadAdmission.of(this.state, this.durationEstimator, this.balancer.spareHostCount()));
		}
		return this.admission.get();
	}

	/**
	 * Checks the open work for items that are overdue, once a second. Changes no
	 * decision. Called after {@link #decide}, since only then it is known which capacity
	 * the latest plan has left free.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return one report for each kind of which something is overdue or was when last
	 * checked, empty if no check is due
	 */
	public List<OverdueReport> reportOverdueIfDue(long nowMillis) {
		boolean hasPlanned = this.plannedMillis == nowMillis;
		if (!this.overdueWatch.isDue(hasPlanned, nowMillis)) {
			return List.of();
		}
		FreeCapacity capacity = hasPlanned
				? new FreeCapacity(this.state, this.latestPlan.candidates(), this.latestPlan.assignments(),
						this.placementWaits.waitingSteps())
				: new FreeCapacity(this.state,
						TaskPlanner.candidates(this.state, usableRunners(drainedRunners(), nowMillis),
								(runner) -> this.reliability.reliability(runner, nowMillis)),
						List.of(), this.placementWaits.waitingSteps());
		return this.overdueWatch.evaluate(new OpenWork(this.state, this.sessions, capacity, nowMillis));
	}

	private boolean hasLongRunning(RunnerRecord runner) {
		return this.state.runs().hasLongRunning(runner.key());
	}

	private boolean hasRuns(RunnerRecord runner) {
		return !this.state.runs().on(runner.key()).isEmpty();
	}

	private static RunnerDispatch dispatch(RunnerSession session, RunnerOrder order) {
		return new RunnerDispatch(session.runner(), session.openedMillis(), order, session.answerTimeoutMillis());
	}

	private Collection<RunnerSession> sessionsToVisit(boolean all) {
		if (all) {
			return this.sessions.values();
		}
		return this.runnersWithEvents.stream().map(this.sessions::get).filter(Objects::nonNull).toList();
	}

	private boolean isPlanDue(long nowMillis) {
		long sincePlanMillis = nowMillis - this.plannedMillis;
		int periodMillis = this.changedSincePlan ? MINIMUM_PLAN_PERIOD_MILLIS : MAXIMUM_PLAN_PERIOD_MILLIS;
		return sincePlanMillis >= Math.max(periodMillis, this.latestPlan.waitingSteps() / STEPS_PER_PERIOD_MILLI);
	}

	private void plan(long nowMillis, long wallMillis) {
		Set<RunnerKey> drained = drainedRunners();
		this.runEnds.setTime(nowMillis, wallMillis);
		List<RunnerRecord> usable = usableRunners(drained, nowMillis);
		Plan plan = this.planner.plan(this.state, usable, drained,
				(runner) -> this.reliability.reliability(runner, nowMillis), wallMillis);
		this.balancer.onPlan(plan);
		List<BatchCommand.Assignment> assignments = withoutInherited(plan.assignments());
		if (!assignments.isEmpty()) {
			this.planInFlight = true;
			this.proposals.add(new BatchCommand.AssignRuns(assignments));
		}
		this.latestPlan = plan;
		this.admission = Optional.empty();
		if (!this.state.closedDataCentres().isEmpty()) {
			this.evacuation.onPlan(
					usable.stream().filter((runner) -> isSuitableForLongRunning(runner, nowMillis)).toList(),
					plan.assignments(), this.sessions, nowMillis);
		}
	}

	private boolean isSuitableForLongRunning(RunnerRecord runner, long nowMillis) {
		return this.reliability.reliability(runner.key(), nowMillis) == RunnerReliability.SOUND
				&& !this.state.hasUnfinishedMaintenance(runner.hostOrId());
	}

	// The members of a gang are assigned together or not at all.
	private List<BatchCommand.Assignment> withoutInherited(List<BatchCommand.Assignment> assignments) {
		Set<TaskId> inherited = this.sessions.values()
			.stream()
			.map(RunnerSession::inheritedTasks)
			.filter((tasks) -> !tasks.isEmpty())
			.flatMap(Set::stream)
			.collect(Collectors.toSet());
		Set<TaskId> steps = inherited.stream().map(TaskId::firstOfStep).collect(Collectors.toSet());
		return assignments.stream()
			.filter((assignment) -> !inherited.contains(assignment.task()))
			.filter((assignment) -> !this.state.isGang(assignment.task())
					|| !steps.contains(assignment.task().firstOfStep()))
			.toList();
	}

	private Set<RunnerKey> drainedRunners() {
		return this.sessions.values()
			.stream()
			.map(RunnerSession::runner)
			.filter((runner) -> this.waveController.isDraining(runner.hostOrId())
					|| this.state.isClosed(runner.dataCentre()))
			.map(RunnerRecord::key)
			.collect(Collectors.toSet());
	}

	private List<RunnerRecord> usableRunners(Set<RunnerKey> drained, long nowMillis) {
		return this.sessions.values()
			.stream()
			.filter((session) -> session.isUsable(nowMillis) && !isBeingRemoved(session))
			.map(RunnerSession::runner)
			.filter((runner) -> !drained.contains(runner.key()))
			.filter((runner) -> !this.balancer.isMoving(runner.hostOrId()))
			.filter((runner) -> !this.balancer.isCordoned(runner.hostOrId()))
			.toList();
	}

	private void onAssigned(BatchCommand.Assignment assignment, long nowMillis) {
		this.state.task(assignment.task())
			.flatMap(BatchTask::run)
			.filter((run) -> run.number() == assignment.run() && run.runner().equals(assignment.runner()))
			.ifPresent((run) -> {
				addRun(run, false);
				this.runDurations.onAssigned(run.task(), nowMillis);
			});
	}

	private void addRun(Run run, boolean adopted) {
		Optional<BatchJob> job = this.state.job(run.task().job());
		this.runnersWithEvents.add(run.runner());
		session(run.runner()).ifPresent((session) -> {
			session.add(run, RunSpec.of(run.task(), this.state, this.durationEstimator), adopted);
			if (job.filter((known) -> !known.phase().isEnded()).isEmpty()) {
				session.stop(run.task());
			}
		});
	}

	private void onEndsCommitted(BatchCommand.NoteEnds committed, long nowMillis) {
		this.runnersWithEvents.add(committed.runner());
		session(committed.runner()).ifPresent((session) -> committed.ends().forEach((end) -> {
			session.remove(end.task(), end.run());
			if (end.outcome().isDone() && this.state.isSuperseded(end)) {
				session.withholdAcknowledgement(end.number());
			}
			session.onEndsCommitted(end.number());
		}));
		committed.ends().forEach((end) -> {
			this.reliability.recordEnd(committed.runner(), end.outcome(), nowMillis);
			this.runDurations.onEnd(committed.runner(), end, this.runEnds, nowMillis);
			boolean jobHasEnded = this.state.job(end.task().job())
				.filter((job) -> job.phase() == BatchJobPhase.FAILED || job.phase() == BatchJobPhase.COMPLETED)
				.isPresent();
			if (jobHasEnded) {
				stopRunsOf(end.task().job());
			}
		});
	}

	private void onReleased(BatchCommand.Release release) {
		this.sessions.values().forEach((session) -> session.remove(release.task(), release.run()));
	}

	private void stopRunsOf(String id) {
		this.state.job(id)
			.ifPresent((job) -> job.occurrences()
				.forEach(
						(occurrence) -> occurrence.steps().forEach((step) -> step.changedTasks().forEach(this::stop))));
	}

	// A configuration may permit fewer attempts, which ends jobs.
	private void stopRunsOfEndedJobs() {
		Set<String> ended = new LinkedHashSet<>();
		this.state.runs().forEach((run) -> {
			if (!this.state.isActive(run.task().job())) {
				ended.add(run.task().job());
			}
		});
		ended.forEach(this::stopRunsOf);
	}

	// A gang of which a member must not start would wait for it in vain.
	private void revokeStart(TaskId task) {
		this.state.step(task)
			.ifPresent((step) -> (step.spec().gang() ? step.changedTasks() : List.of(step.tasks().get(task.index())))
				.forEach(this::stop));
	}

	private void stop(BatchTask task) {
		task.run().ifPresent((run) -> session(run.runner()).ifPresent((session) -> {
			this.runnersWithEvents.add(run.runner());
			session.stop(run.task());
			proposeReleases(session);
		}));
	}

	private void proposeReleases(RunnerSession session) {
		propose(session.drainReleases());
	}

	private void propose(List<RunRelease> releases) {
		if (!releases.isEmpty()) {
			this.proposals.add(new BatchCommand.ReleaseRuns(releases.stream().map(RunRelease::release).toList()));
			this.proposedReleases.addAll(releases);
		}
	}

	private void endIncarnationIfOver(RunnerSession session, long nowMillis) {
		RunnerKey key = session.runner().key();
		if (isBeingRemoved(session)) {
			return;
		}
		if (!session.haveRunsEnded(nowMillis)) {
			this.endingIncarnations.remove(key);
			return;
		}
		if (this.endingIncarnations.add(key)) {
			propose(session.releaseAll());
		}
		boolean isGone = session.hasEnded(nowMillis)
				|| nowMillis - this.announcements.lastMillis(key) > this.settings.runnerRetentionMillis();
		if (isGone && this.removedIncarnations.add(key)) {
			this.proposals.add(new BatchCommand.RemoveRunner(key));
		}
	}

	// The removal ends all runs, so nothing may begin even if the runner answers again.
	private boolean isBeingRemoved(RunnerSession session) {
		return this.removedIncarnations.contains(session.runner().key());
	}

	private void syncSessions(long nowMillis) {
		Set<RunnerKey> known = new HashSet<>();
		this.state.runners().forEach((runner) -> {
			known.add(runner.key());
			Optional<RunnerSession> session = session(runner.key());
			if (session.isPresent()) {
				session.get().update(this.closedDataCentres.forSession(runner));
			}
			else {
				inheritRuns(openSession(runner, nowMillis), nowMillis);
			}
		});
		this.sessions.keySet().retainAll(known);
		this.firstContacts.retainAll(known);
		this.announcements.retainAll(known);
		this.endingIncarnations.retainAll(known);
		this.removedIncarnations.retainAll(known);
		this.reliability.retainAll(known);
	}

	// The sessions with earlier incarnations are closed afterwards.
	private void inheritRuns(RunnerSession opened, long nowMillis) {
		RunnerKey key = opened.runner().key();
		this.sessions.values()
			.stream()
			.filter((other) -> other.runner().key().id().equals(key.id()) && other != opened)
			.forEach((earlier) -> opened.inheritRuns(earlier, nowMillis));
	}

	private RunnerSession openSession(RunnerRecord runner, long nowMillis) {
		this.runnersWithEvents.add(runner.key());
		this.runEnds.onRegistered(runner);
		// An earlier session of this term may have granted a lease until now.
		RunnerSession opened = new RunnerSession(this.closedDataCentres.forSession(runner), this.settings.sessions(),
				this.term, nowMillis);
		this.sessions.put(runner.key(), opened);
		this.state.runs().on(runner.key()).forEach((run) -> addRun(run, true));
		return opened;
	}

}
