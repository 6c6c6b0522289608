package io.burdockpin.core.batch.lead.run;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;

import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.Run;

/**
 * Session of the leader with one incarnation of a runner: tracks its runs and lease and
 * determines the next orders. Starts, stops and throttles are sent one at a time,
 * heartbeats on a separate channel. Not thread-safe; owned by the leader.
 */
public final class RunnerSession {

	private static final int SILENT_RETRY_FACTOR = 4;

	/** Four times the timeout of 700 ms is still less than a lease. */
	private static final int MAXIMUM_DOUBLINGS = 2;

	/** The duration of a single task may be several times its estimate. */
	private static final int MINIMUM_OBSERVED_TASKS = 3;

	/**
	 * Reported tail latencies cover the last half second, and a new limit takes some time
	 * to have an effect.
	 */
	private static final int THROTTLE_PERIOD_MILLIS = 600;

	/** A small part of the time in which a long-running task starts. */
	private static final int AWAITED_POLL_MILLIS = 150;

	private final SessionSettings settings;

	private final long fencingToken;

	private final Map<TaskId, RunProgress> runs = new LinkedHashMap<>();

	/** Runs that the runner lists but that are not assigned to it. */
	private final Map<TaskId, Integer> unassignedRuns = new HashMap<>();

	/** Runs that were ordered to earlier incarnations of the runner. */
	private final InheritedRuns inheritedRuns = new InheritedRuns();

	private final List<RunRelease> releases = new ArrayList<>();

	private final BestEffortThrottle throttle = new BestEffortThrottle();

	private final RunnerLease lease;

	private final long openedMillis;

	private RunnerRecord runner;

	private boolean orderInFlight;

	private long orderSentMillis;

	/** Whether the latest order is unanswered and there was no contact since. */
	private boolean unanswered;

	private boolean heartbeatInFlight;

	/** Whether other tasks wait for the progress of a task on this runner. */
	private boolean progressAwaited;

	private long heartbeatNumber;

	private long nextHeartbeatMillis;

	private long committedEnd;

	private long proposedEnd;

	/**
	 * Number of the first end whose acknowledgement waits for the expiry of the lease.
	 */
	private OptionalLong firstWithheldEnd = OptionalLong.empty();

	/** Number of the last end that was listed after the lease had expired. */
	private long lastEndBeforeExpiry;

	/** Number of the first end in the latest listing. */
	private OptionalLong oldestListedEnd = OptionalLong.empty();

	private long lastContactMillis;

	private boolean contacted;

	private boolean ended;

	/**
	 * Time from which the incarnation counts as ended, set once another one with the same
	 * identifier has answered. That one may carry out orders of this session until its
	 * registration.
	 */
	private OptionalLong restartedUntilMillis = OptionalLong.empty();

	private boolean leaving;

	private boolean fenced;

	/**
	 * Whether the latest heartbeat was unanswered. A runner that a busy leader has not
	 * contacted yet is not silent and may still list the ends of its runs.
	 */
	private boolean heartbeatUnanswered;

	/** Number of consecutive orders that timed out. */
	private int unansweredCount;

	/**
	 * Creates a session.
	 * @param runner announced state of the runner
	 * @param settings settings of the session
	 * @param fencingToken term of this leader
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public RunnerSession(RunnerRecord runner, SessionSettings settings, long fencingToken, long nowMillis) {
		this.runner = runner;
		this.settings = settings;
		this.fencingToken = fencingToken;
		this.lease = new RunnerLease(settings, nowMillis);
		this.openedMillis = nowMillis;
		this.lastContactMillis = nowMillis;
	}

	/**
	 * Returns the latest announced state of the runner.
	 * @return announced state
	 */
	public RunnerRecord runner() {
		return this.runner;
	}

	/**
	 * Returns the time at which the session was opened. It identifies the session among
	 * those with the same incarnation.
	 * @return monotonic time, in milliseconds
	 */
	public long openedMillis() {
		return this.openedMillis;
	}

	/**
	 * Checks whether new tasks may be assigned to the runner.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if the runner is responsive, has no overdue order, waits
	 * neither for its lease to expire nor for the end of inherited runs, and is neither
	 * leaving nor replaced
	 */
	public boolean isUsable(long nowMillis) {
		return isResponsive(nowMillis) && !isAnswerMissing(nowMillis) && mayReceiveOrders() && !this.leaving
				&& !isWithholding() && this.inheritedRuns.isEmpty() && !this.runner.draining();
	}

	private boolean mayReceiveOrders() {
		return !this.ended && !this.fenced && this.restartedUntilMillis.isEmpty();
	}

	/**
	 * Checks whether the last contact is within the silence timeout.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if the runner is responsive
	 */
	public boolean isResponsive(long nowMillis) {
		return this.contacted && nowMillis - this.lastContactMillis <= this.settings.silenceTimeoutMillis();
	}

	/**
	 * Checks whether the runner has ever sent a listing to this leader.
	 * @return {@code true} after the first listing
	 */
	public boolean hasBeenContacted() {
		return this.contacted;
	}

	/**
	 * Returns the oldest end that the runner still lists.
	 * @return number of the first end in the latest listing, or empty if it had none
	 */
	public OptionalLong oldestListedEnd() {
		return this.oldestListedEnd;
	}

	/**
	 * Checks whether the latest order or heartbeat timed out.
	 * @return {@code true} if no answer arrived since
	 */
	public boolean isUnanswered() {
		return this.unansweredCount > 0;
	}

	// A start without an answer blocks its task until the lease has expired, so no
	// further starts are sent after it.
	private boolean isAnswerMissing(long nowMillis) {
		boolean isOverdue = this.orderInFlight && nowMillis - this.orderSentMillis > this.settings.orderOverdueMillis();
		return this.unanswered || isOverdue;
	}

	/**
	 * Checks whether all runs of this incarnation have ended.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if the runner is gone or its lease has definitely expired
	 */
	public boolean haveRunsEnded(long nowMillis) {
		if (this.restartedUntilMillis.isPresent()) {
			return hasEnded(nowMillis);
		}
		boolean wasAsked = this.contacted || this.heartbeatUnanswered;
		return this.ended || (wasAsked && !isResponsive(nowMillis) && this.lease.hasExpired(nowMillis));
	}

	/**
	 * Checks whether this incarnation has definitely ended, and no other one carries out
	 * orders that were meant for it.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if the runner has left or has been replaced
	 */
	public boolean hasEnded(long nowMillis) {
		return this.ended
				|| (this.restartedUntilMillis.isPresent() && nowMillis >= this.restartedUntilMillis.getAsLong());
	}

	/**
	 * Returns the tasks that must not be started yet, because a run that was ordered to
	 * an earlier incarnation may be in progress on this one.
	 * @return live view
	 */
	public Set<TaskId> inheritedTasks() {
		return this.inheritedRuns.tasks();
	}

	/**
	 * Takes over the runs that were ordered to an earlier incarnation with the same
	 * identifier.
	 * @param earlier session with the earlier incarnation
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void inheritRuns(RunnerSession earlier, long nowMillis) {
		this.inheritedRuns.addAll(earlier.inheritedRuns);
		earlier.runs.values()
			.stream()
			.filter((progress) -> !progress.wasNeverOrdered())
			.map(RunProgress::run)
			.forEach((run) -> this.inheritedRuns.add(run.task(), run.number(),
					nowMillis + this.settings.earlierLeaseExpiryMillis()));
	}

	/**
	 * Checks whether a stop was requested for the run of a task.
	 * @param task task of the run
	 * @return {@code true} if the run is to be stopped
	 */
	public boolean isStopping(TaskId task) {
		return progress(task).filter(RunProgress::stopRequested).isPresent();
	}

	/**
	 * Returns the latest listed progress of a task.
	 * @param task task to look up
	 * @return completed work in percent, 0 if unknown
	 */
	public int percent(TaskId task) {
		return progress(task).map(RunProgress::percent).orElse(0);
	}

	/**
	 * Returns the ratio of the progress of the tasks to the progress expected on a
	 * healthy runner.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return relative speed, or empty if there are too few tasks
	 */
	public OptionalDouble relativeSpeed(long nowMillis) {
		int tasks = 0;
		long expectedMillis = 0;
		double doneMillis = 0;
		for (RunProgress progress : this.runs.values()) {
			OptionalLong expected = progress.expectedMillis(nowMillis);
			if (expected.isPresent()) {
				tasks++;
				expectedMillis += expected.getAsLong();
				doneMillis += progress.completedMillis();
			}
		}
		return (tasks >= MINIMUM_OBSERVED_TASKS) ? OptionalDouble.of(doneMillis / Math.max(1, expectedMillis))
				: OptionalDouble.empty();
	}

	/**
	 * Checks whether a run is assigned to the runner.
	 * @param task task of the run
	 * @param run number of the run
	 * @return {@code true} if the run was added and neither its end nor its release was
	 * committed
	 */
	public boolean hasRun(TaskId task, int run) {
		return progress(task).filter((known) -> known.run().number() == run).isPresent();
	}

	/**
	 * Returns the runs that are to be started and are not confirmed by the runner.
	 * @return runs in the order of their starts
	 */
	public List<Run> unconfirmedRuns() {
		return this.runs.values().stream().filter(RunProgress::isUnconfirmed).map(RunProgress::run).toList();
	}

	/**
	 * Describes the contact with the runner.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return ages of the last contact, the lease and the open order
	 */
	public RunnerContact contact(long nowMillis) {
		return new RunnerContact(
				this.contacted ? OptionalLong.of(nowMillis - this.lastContactMillis) : OptionalLong.empty(),
				this.lease.ageMillis(nowMillis),
				this.orderInFlight ? OptionalLong.of(nowMillis - this.orderSentMillis) : OptionalLong.empty());
	}

	/**
	 * Updates the announced state of the runner.
	 * @param newer announcement of the same incarnation
	 */
	public void update(RunnerRecord newer) {
		this.runner = newer;
	}

	/**
	 * Adds a run whose assignment was committed.
	 * @param run assigned run
	 * @param spec properties of the run
	 * @param adopted whether an earlier leader may have ordered the run
	 */
	public void add(Run run, RunSpec spec, boolean adopted) {
		this.runs.put(run.task(), new RunProgress(run, spec, adopted));
	}

	/**
	 * Removes a run whose end or release was committed.
	 * @param task task of the run
	 * @param run number of the run
	 */
	public void remove(TaskId task, int run) {
		progress(task).filter((known) -> known.run().number() == run).ifPresent((known) -> this.runs.remove(task));
	}

	/**
	 * Requests the stop of a run. A run that was never ordered is released.
	 * @param task task of the run
	 */
	public void stop(TaskId task) {
		progress(task).ifPresent((progress) -> {
			if (progress.wasNeverOrdered()) {
				release(progress, ReleaseReason.NEVER_ORDERED);
			}
			else {
				progress.requestStop();
			}
		});
	}

	/**
	 * Removes inherited runs that have certainly ended because leases are limited.
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void removeExpiredInheritedRuns(long nowMillis) {
		this.inheritedRuns.removeExpired(nowMillis);
	}

	/**
	 * Handles the commit of ends of runs.
	 * @param number number of the last committed end
	 */
	public void onEndsCommitted(long number) {
		this.committedEnd = Math.max(this.committedEnd, number);
		this.nextHeartbeatMillis = 0;
	}

	/**
	 * Withholds the acknowledgement of an end and of all later ones until the lease of
	 * the runner has expired after the end. Used when the task was started again: an end
	 * that was not acknowledged before the expiry does not count, so that only the end of
	 * the later run does. Until then the runner gets no new tasks, and its lease is not
	 * extended once it has none.
	 * @param number number of the end
	 */
	public void withholdAcknowledgement(long number) {
		if (number > this.lastEndBeforeExpiry && number < this.firstWithheldEnd.orElse(Long.MAX_VALUE)) {
			this.firstWithheldEnd = OptionalLong.of(number);
		}
	}

	private boolean isWithholding() {
		return this.firstWithheldEnd.isPresent();
	}

	/**
	 * Handles the announcement that the runner is leaving. Its runs have ended only once
	 * it can no longer be reached, since a delayed message of an earlier incarnation must
	 * not end the runs of this one.
	 */
	public void onDeparture() {
		this.leaving = true;
	}

	/**
	 * Handles an announcement that the runner accepts tasks. An earlier announcement that
	 * it is leaving was of an earlier incarnation with the same identifier.
	 */
	public void onReady() {
		this.leaving = false;
	}

	/**
	 * Returns the next start, stop or throttle and marks it as sent.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return order to send, or empty if none is due or one is in flight
	 */
	public Optional<RunnerOrder> nextOrder(long nowMillis) {
		if (this.orderInFlight || !mayReceiveOrders()) {
			return Optional.empty();
		}
		Optional<RunnerOrder> order = nextStop(nowMillis).or(() -> nextStart(nowMillis))
			.or(() -> nextThrottle(nowMillis));
		this.orderInFlight = order.isPresent();
		this.orderSentMillis = nowMillis;
		return order;
	}

	/**
	 * Returns the next heartbeat and marks it as sent.
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return heartbeat to send, or empty if none is due or one is in flight
	 */
	public Optional<RunnerOrder.Heartbeat> nextHeartbeat(long nowMillis) {
		boolean mustWait = this.heartbeatInFlight || !mayReceiveOrders() || nowMillis < this.nextHeartbeatMillis
				|| this.proposedEnd > this.committedEnd;
		if (mustWait) {
			return Optional.empty();
		}
		this.heartbeatInFlight = true;
		this.heartbeatNumber++;
		boolean isResponsive = isResponsive(nowMillis);
		// A runner that receives heartbeats but whose answers are lost must not keep its
		// lease.
		boolean extendsLease = isResponsive && !(isWithholding() && this.runs.isEmpty());
		OptionalLong leaseEnd = extendsLease ? this.lease.grant(nowMillis) : OptionalLong.empty();
		int waitMillis = isResponsive ? pollMillis() : 0;
		this.progressAwaited = false;
		long acknowledgedEnd = Math.min(this.committedEnd, this.firstWithheldEnd.orElse(Long.MAX_VALUE) - 1);
		return Optional.of(new RunnerOrder.Heartbeat(this.fencingToken, acknowledgedEnd, leaseEnd, waitMillis));
	}

	/**
	 * Makes the next heartbeat short, since a runner only reports ends at once. Called
	 * when another task can be stopped as soon as a task on this runner has started.
	 */
	public void awaitProgress() {
		this.progressAwaited = true;
	}

	private int pollMillis() {
		boolean isShort = this.progressAwaited || !this.inheritedRuns.isEmpty();
		return isShort ? Math.min(AWAITED_POLL_MILLIS, this.settings.longPollMillis()) : this.settings.longPollMillis();
	}

	/**
	 * Returns the timeout for the next answer. It doubles with each unanswered order:
	 * with a constant timeout, a busy host would give up every connection before it had
	 * handled the answer, and start again with the next one.
	 * @return time in milliseconds, in addition to the wait time in the order
	 */
	public int answerTimeoutMillis() {
		return this.settings.answerTimeoutMillis() << Math.min(this.unansweredCount, MAXIMUM_DOUBLINGS);
	}

	/**
	 * Handles the reply to a start, stop or throttle.
	 * @param order order that was sent
	 * @param reply reply, or the reason why there is none
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void onOrderReply(RunnerOrder order, RunnerReply reply, long nowMillis) {
		countUnanswered(reply);
		this.orderInFlight = false;
		this.unanswered = isUnanswered(reply);
		if (reply instanceof RunnerReply.Accepted accepted) {
			this.lease.recordClock(accepted.clockMillis(), nowMillis);
		}
		if (order instanceof RunnerOrder.Start start) {
			progress(start.task()).filter((progress) -> progress.run().number() == start.run())
				.ifPresent((progress) -> onStartReply(progress, reply, nowMillis));
		}
		else if (order instanceof RunnerOrder.Stop stop) {
			onStopReply(stop, reply, nowMillis);
		}
		else if (order instanceof RunnerOrder.Throttle limit) {
			onThrottleReply(limit, reply, nowMillis);
		}
	}

	/**
	 * Handles the reply to a heartbeat.
	 * @param reply reply, or the reason why there is none
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return new ends, which the caller has to commit
	 */
	public List<BatchCommand.End> onHeartbeatReply(RunnerReply reply, long nowMillis) {
		countUnanswered(reply);
		this.heartbeatInFlight = false;
		this.heartbeatUnanswered = isUnanswered(reply);
		if (reply instanceof RunnerReply.Listing listing) {
			return onListing(listing, nowMillis);
		}
		if (reply instanceof RunnerReply.Refused refused) {
			onRefusal(refused.refusal(), nowMillis);
		}
		if (this.leaving && reply == RunnerReply.NoAnswer.CONNECTION_REFUSED) {
			this.ended = true;
		}
		// A silent runner is most likely gone, and each retry costs a connection.
		int pauseFactor = isResponsive(nowMillis) ? 1 : SILENT_RETRY_FACTOR;
		this.nextHeartbeatMillis = nowMillis + pauseFactor * this.settings.retryMillis();
		return List.of();
	}

	/**
	 * Releases the runs that were never ordered if the runner accepts no new tasks or
	 * does not answer, so that they need not wait for its lease to expire.
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void releaseUnorderedRuns(long nowMillis) {
		boolean isSilent = this.contacted && (isAnswerMissing(nowMillis) || !isResponsive(nowMillis));
		if (isSilent || this.runner.draining()) {
			for (RunProgress progress : this.runs.values()) {
				if (progress.wasNeverOrdered()) {
					release(progress, ReleaseReason.NEVER_ORDERED);
				}
			}
		}
	}

	/**
	 * Returns and clears the releases of runs that are definitely not active and have no
	 * end.
	 * @return releases to commit
	 */
	public List<RunRelease> drainReleases() {
		if (this.releases.isEmpty()) {
			return List.of();
		}
		List<RunRelease> drained = List.copyOf(this.releases);
		this.releases.clear();
		return drained;
	}

	/**
	 * Releases all runs; requires that {@link #haveRunsEnded} returns {@code true}. The
	 * runs are not ordered again, even if the runner answers before the releases are
	 * committed.
	 * @return releases to commit
	 */
	public List<RunRelease> releaseAll() {
		ReleaseReason reason = (this.ended || this.restartedUntilMillis.isPresent()) ? ReleaseReason.INCARNATION_ENDED
				: ReleaseReason.LEASE_EXPIRED;
		this.runs.values().forEach(RunProgress::markReleased);
		return this.runs.values().stream().map((progress) -> releaseOf(progress, reason)).toList();
	}

	private static boolean isUnanswered(RunnerReply reply) {
		return reply instanceof RunnerReply.NoAnswer && reply != RunnerReply.NoAnswer.NOT_SENT;
	}

	private void countUnanswered(RunnerReply reply) {
		this.unansweredCount = (reply == RunnerReply.NoAnswer.UNKNOWN) ? this.unansweredCount + 1 : 0;
	}

	private Optional<RunnerOrder> nextStop(long nowMillis) {
		for (Map.Entry<TaskId, Integer> unassigned : this.unassignedRuns.entrySet()) {
			return Optional.of(new RunnerOrder.Stop(this.fencingToken, unassigned.getKey(), unassigned.getValue()));
		}
		Optional<RunnerOrder> inherited = this.inheritedRuns.nextStop(this.fencingToken, nowMillis)
			.map(RunnerOrder.class::cast);
		return inherited.isPresent() ? inherited : firstRun((progress) -> progress.needsStop(nowMillis))
			.map((progress) -> new RunnerOrder.Stop(this.fencingToken, progress.run().task(), progress.run().number()));
	}

	// Called for each session several times in ten milliseconds, so it avoids streams.
	private Optional<RunProgress> firstRun(Predicate<RunProgress> condition) {
		for (RunProgress progress : this.runs.values()) {
			if (condition.test(progress)) {
				return Optional.of(progress);
			}
		}
		return Optional.empty();
	}

	private Optional<RunnerOrder> nextStart(long nowMillis) {
		if (!this.lease.canBeGranted() || !isResponsive(nowMillis) || this.unanswered) {
			return Optional.empty();
		}
		Optional<RunProgress> next = firstRun((progress) -> progress.needsStart(nowMillis));
		if (next.isEmpty()) {
			return Optional.empty();
		}
		RunProgress progress = next.get();
		if (this.runner.draining()) {
			stop(progress.run().task());
			return nextStop(nowMillis);
		}
		progress.onOrdered();
		return Optional.of(new RunnerOrder.Start(this.fencingToken, progress.run().task(), progress.run().number(),
				progress.spec().specification(), progress.spec().checkpoint(),
				this.lease.grant(nowMillis).orElseThrow()));
	}

	private Optional<RunnerOrder> nextThrottle(long nowMillis) {
		return this.throttle.nextOutdatedRun(this.runs.values(), nowMillis)
			.map((progress) -> new RunnerOrder.Throttle(this.fencingToken, progress.run().task(),
					progress.run().number(), this.throttle.percent()));
	}

	private void onThrottleReply(RunnerOrder.Throttle limit, RunnerReply reply, long nowMillis) {
		progress(limit.task()).ifPresent((progress) -> progress.retryAt(nowMillis + this.settings.retryMillis()));
		if (reply instanceof RunnerReply.Accepted) {
			this.throttle.confirm(limit.task(), limit.percent());
		}
		else if (reply instanceof RunnerReply.Refused refused) {
			onRefusal(refused.refusal(), nowMillis);
		}
	}

	private void onStartReply(RunProgress progress, RunnerReply reply, long nowMillis) {
		progress.retryAt(nowMillis + this.settings.retryMillis());
		if (reply instanceof RunnerReply.Accepted) {
			progress.onStartAccepted(this.heartbeatNumber, nowMillis);
		}
		else if (reply instanceof RunnerReply.Refused refused) {
			onStartRefused(progress, refused.refusal(), nowMillis);
		}
	}

	private void onStartRefused(RunProgress progress, RunnerReply.Refusal refusal, long nowMillis) {
		switch (refusal) {
			case OUTDATED -> progress.close(this.heartbeatNumber);
			// An earlier unanswered order may still be carried out, so the run is stopped
			// before it is released.
			case NO_CAPACITY, NO_PERMIT, MALFORMED, UNAVAILABLE -> progress.requestStop();
			case LEASE_EXPIRED -> {
				// The next attempt has a new lease expiry time.
			}
			default -> onRefusal(refusal, nowMillis);
		}
	}

	private void onStopReply(RunnerOrder.Stop stop, RunnerReply reply, long nowMillis) {
		this.unassignedRuns.remove(stop.task(), stop.run());
		boolean isClosed = reply instanceof RunnerReply.Accepted
				|| (reply instanceof RunnerReply.Refused refused && refused.refusal() == RunnerReply.Refusal.OUTDATED);
		this.inheritedRuns.onStopReply(stop, isClosed, this.heartbeatNumber, nowMillis + this.settings.retryMillis());
		progress(stop.task()).filter((progress) -> progress.run().number() == stop.run()).ifPresent((progress) -> {
			progress.retryAt(nowMillis + this.settings.retryMillis());
			if (isClosed) {
				progress.onStopAccepted(this.heartbeatNumber);
			}
		});
		if (reply instanceof RunnerReply.Refused refused) {
			onRefusal(refused.refusal(), nowMillis);
		}
	}

	private void onRefusal(RunnerReply.Refusal refusal, long nowMillis) {
		if (refusal == RunnerReply.Refusal.FENCED) {
			this.fenced = true;
		}
		else if (refusal == RunnerReply.Refusal.OTHER_INCARNATION) {
			this.ended = true;
		}
		else if (refusal == RunnerReply.Refusal.RESTARTED) {
			onRestarted(nowMillis);
		}
	}

	private void onRestarted(long nowMillis) {
		if (this.restartedUntilMillis.isEmpty()) {
			this.restartedUntilMillis = OptionalLong.of(nowMillis + this.settings.earlierLeaseExpiryMillis());
		}
	}

	private List<BatchCommand.End> onListing(RunnerReply.Listing listing, long nowMillis) {
		if (!listing.mayBeOf(this.runner.key())) {
			onRestarted(nowMillis);
			return List.of();
		}
		this.contacted = true;
		this.lastContactMillis = nowMillis;
		this.unanswered = false;
		this.lease.recordClock(listing.clockMillis(), nowMillis);
		this.nextHeartbeatMillis = nowMillis;
		this.oldestListedEnd = listing.ended().stream().mapToLong(BatchCommand.End::number).min();
		Set<TaskId> listed = new HashSet<>();
		listing.running().forEach((running) -> onRunning(running, listed));
		this.throttle.observe(listed.stream().map(this.runs::get).toList(), nowMillis, THROTTLE_PERIOD_MILLIS);
		listing.ended().forEach((end) -> listed.add(end.task()));
		// A run that is missing in an incomplete listing may have ended.
		if (listing.endsComplete()) {
			this.inheritedRuns.onListing(listing, this.heartbeatNumber);
			this.runs.values()
				.stream()
				.filter((progress) -> !listed.contains(progress.run().task()))
				.forEach(this::onUnlisted);
		}
		if (this.lease.hasExpired(nowMillis)) {
			onListedAfterExpiry(listing.ended());
		}
		List<BatchCommand.End> newEnds = listing.ended()
			.stream()
			.filter((end) -> end.number() > this.proposedEnd)
			.sorted(Comparator.comparingLong(BatchCommand.End::number))
			.toList();
		newEnds.forEach((end) -> this.proposedEnd = Math.max(this.proposedEnd, end.number()));
		return newEnds;
	}

	// Nothing runs without a lease, so all listed runs have ended before the lease
	// expired.
	private void onListedAfterExpiry(List<BatchCommand.End> ends) {
		ends.forEach((end) -> this.lastEndBeforeExpiry = Math.max(this.lastEndBeforeExpiry, end.number()));
		if (this.firstWithheldEnd.orElse(Long.MAX_VALUE) <= this.lastEndBeforeExpiry) {
			this.firstWithheldEnd = OptionalLong.empty();
		}
	}

	private void onRunning(RunnerReply.RunningTask running, Set<TaskId> listed) {
		Optional<RunProgress> known = progress(running.task())
			.filter((progress) -> progress.run().number() == running.run());
		if (known.isPresent()) {
			listed.add(running.task());
			known.get().onListed(running);
		}
		else {
			this.unassignedRuns.put(running.task(), running.run());
		}
	}

	private void onUnlisted(RunProgress progress) {
		if (progress.hasEndedIfUnlisted(this.heartbeatNumber)) {
			release(progress, ReleaseReason.CLOSED);
		}
		else if (progress.isMissing(this.heartbeatNumber)) {
			progress.requestStop();
		}
	}

	private void release(RunProgress progress, ReleaseReason reason) {
		if (!progress.isReleased()) {
			progress.markReleased();
			this.releases.add(releaseOf(progress, reason));
		}
	}

	private RunRelease releaseOf(RunProgress progress, ReleaseReason reason) {
		BatchCommand.Release release = new BatchCommand.Release(progress.run().task(), progress.run().number(),
				progress.checkpoint());
		return new RunRelease(release, this.runner.key(), this.openedMillis, reason);
	}

	private Optional<RunProgress> progress(TaskId task) {
		return Optional.ofNullable(this.runs.get(task));
	}

}
