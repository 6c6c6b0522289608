package io.burdockpin.core.batch.lead;

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
 * What the leader knows about one life of a runner and what it orders next. Starts and
 * stops go out one at a time, requests for the lists on a channel of their own. Mutable;
 * owned by the leader.
 */
public final class RunnerSession {

	private static final int SILENT_RETRY_FACTOR = 4;

	/** Four times the time-out of 700 ms is still less than a lease. */
	private static final int MAXIMUM_DOUBLINGS = 2;

	/** A single task may take several times its estimate. */
	private static final int MINIMUM_OBSERVED_TASKS = 3;

	/**
	 * The tails that a runner lists are those of the last half second, and a new pace
	 * takes some time until it holds.
	 */
	private static final int THROTTLE_PERIOD_MILLIS = 600;

	private final SessionSettings settings;

	private final long fencingToken;

	private final Map<TaskId, RunProgress> runs = new LinkedHashMap<>();

	/** Runs that the runner lists although they are not assigned to it. */
	private final Map<TaskId, Integer> unassignedRuns = new HashMap<>();

	private final List<BatchCommand.Release> releases = new ArrayList<>();

	private final BestEffortThrottle throttle = new BestEffortThrottle();

	private RunnerRecord runner;

	/** The clock of the runner when it answered last. */
	private OptionalLong clockMillis = OptionalLong.empty();

	private long clockReadMillis;

	private long leaseExpiryMillis;

	private OptionalLong leaseGrantedMillis = OptionalLong.empty();

	private boolean orderInFlight;

	private long orderSentMillis;

	/** Whether the newest order has no answer and nothing was heard since. */
	private boolean unanswered;

	private boolean heartbeatInFlight;

	private long heartbeatNumber;

	private long nextHeartbeatMillis;

	private long committedEnd;

	private long proposedEnd;

	/** The first end that is not acknowledged. */
	private long firstUnacknowledgedEnd = Long.MAX_VALUE;

	private long lastContactMillis;

	private boolean contacted;

	private boolean ended;

	private boolean leaving;

	private boolean fenced;

	/**
	 * Whether the lists were asked for without an answer. A runner that a busy leader has
	 * not come to yet is not silent and may list the ends of its runs.
	 */
	private boolean heartbeatUnanswered;

	/** How many orders in a row had no answer in time. */
	private int unansweredCount;

	/**
	 * Creates a session.
	 * @param runner the runner
	 * @param settings the settings
	 * @param fencingToken the term of this leader
	 * @param electedMillis when this leader was elected, by a monotonic clock
	 * @param nowMillis the time of that clock
	 */
	public RunnerSession(RunnerRecord runner, SessionSettings settings, long fencingToken, long electedMillis,
			long nowMillis) {
		this.runner = runner;
		this.settings = settings;
		this.fencingToken = fencingToken;
		this.leaseExpiryMillis = electedMillis + settings.earlierLeaseExpiryMillis();
		this.lastContactMillis = nowMillis;
	}

	// access

	/**
	 * Returns the runner.
	 * @return what it announces
	 */
	public RunnerRecord runner() {
		return this.runner;
	}

	/**
	 * Tells whether the runner takes new tasks.
	 * @param nowMillis the time
	 * @return whether it was heard lately and is not about to leave
	 */
	public boolean isUsable(long nowMillis) {
		return isResponsive(nowMillis) && !isAnswerMissing(nowMillis) && !this.ended && !this.leaving && !this.fenced
				&& !this.runner.draining();
	}

	/**
	 * Tells whether the runner answers.
	 * @param nowMillis the time
	 * @return whether it was heard lately
	 */
	public boolean isResponsive(long nowMillis) {
		return this.contacted && nowMillis - this.lastContactMillis <= this.settings.silenceTimeoutMillis();
	}

	/**
	 * Tells whether the runner has ever answered this leader.
	 * @return whether its lists were read
	 */
	boolean hasBeenContacted() {
		return this.contacted;
	}

	/**
	 * Tells whether the newest order had no answer in time.
	 * @return whether the runner was asked in vain
	 */
	boolean isUnanswered() {
		return this.unansweredCount > 0;
	}

	// A start without an answer binds its task until the lease has ended, so no further
	// ones follow it.
	private boolean isAnswerMissing(long nowMillis) {
		boolean isOverdue = this.orderInFlight && nowMillis - this.orderSentMillis > this.settings.orderOverdueMillis();
		return this.unanswered || isOverdue;
	}

	/**
	 * Tells whether everything that ran under this life has ended.
	 * @param nowMillis the time
	 * @return whether the runner is gone or its lease has certainly ended
	 */
	public boolean haveRunsEnded(long nowMillis) {
		boolean wasAsked = this.contacted || this.heartbeatUnanswered;
		return this.ended || (wasAsked && !isResponsive(nowMillis) && nowMillis >= this.leaseExpiryMillis);
	}

	/**
	 * Tells whether this life of the runner has certainly ended.
	 * @return whether the runner has left or another life has taken its place
	 */
	public boolean hasEnded() {
		return this.ended;
	}

	/**
	 * Tells whether a run is to be stopped.
	 * @param task the task
	 * @return whether its end was asked for
	 */
	public boolean isStopping(TaskId task) {
		return progress(task).filter(RunProgress::stopRequested).isPresent();
	}

	/**
	 * Returns the progress that the runner has listed for a task.
	 * @param task the task
	 * @return percent of the work, 0 if unknown
	 */
	public int percent(TaskId task) {
		return progress(task).map(RunProgress::percent).orElse(0);
	}

	/**
	 * Relates the progress of the tasks to what was to be expected of a sound runner.
	 * @param nowMillis the time
	 * @return the relative speed, if there are enough tasks to tell
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
	 * Tells whether a run is counted on.
	 * @param task the task
	 * @param run the number of the run
	 * @return whether it was added and neither its end nor its release was committed
	 */
	boolean hasRun(TaskId task, int run) {
		return progress(task).filter((known) -> known.run().number() == run).isPresent();
	}

	/**
	 * Describes the contact with the runner.
	 * @param nowMillis the time
	 * @return the ages of what this leader has heard, granted and ordered
	 */
	RunnerContact contact(long nowMillis) {
		return new RunnerContact(
				this.contacted ? OptionalLong.of(nowMillis - this.lastContactMillis) : OptionalLong.empty(),
				this.leaseGrantedMillis.isPresent() ? OptionalLong.of(nowMillis - this.leaseGrantedMillis.getAsLong())
						: OptionalLong.empty(),
				this.orderInFlight ? OptionalLong.of(nowMillis - this.orderSentMillis) : OptionalLong.empty());
	}

	// changes of the state

	/**
	 * Takes over what the runner announces now.
	 * @param newer the announcement of the same life
	 */
	public void update(RunnerRecord newer) {
		this.runner = newer;
	}

	/**
	 * Takes on a run that was committed.
	 * @param run the run
	 * @param content what it runs
	 * @param adopted whether an earlier leader may have ordered it
	 */
	public void add(Run run, RunSpec content, boolean adopted) {
		this.runs.put(run.task(), new RunProgress(run, content, adopted));
	}

	/**
	 * Forgets a run whose end or release was committed.
	 * @param task the task
	 * @param run the number of the run
	 */
	public void remove(TaskId task, int run) {
		progress(task).filter((known) -> known.run().number() == run).ifPresent((known) -> this.runs.remove(task));
	}

	/**
	 * Asks for the end of a run.
	 * @param task the task
	 */
	public void stop(TaskId task) {
		progress(task).ifPresent((progress) -> {
			if (progress.wasNeverOrdered()) {
				release(progress);
			}
			else {
				progress.requestStop();
			}
		});
	}

	/**
	 * Takes note that ends were committed.
	 * @param number the number of the newest one
	 */
	public void onEndsCommitted(long number) {
		this.committedEnd = Math.max(this.committedEnd, number);
		this.nextHeartbeatMillis = 0;
	}

	/**
	 * Keeps an end and those after it from being acknowledged while this life lasts: its
	 * task was started again, so only the end of the later run counts.
	 * @param number the number of the end
	 */
	public void withholdAcknowledgement(long number) {
		this.firstUnacknowledgedEnd = Math.min(this.firstUnacknowledgedEnd, number);
	}

	/**
	 * Takes note that the runner says it ends. Its runs are over once it can no longer be
	 * reached: a late message of an earlier life must not end the runs of this one.
	 */
	public void onDeparture() {
		this.leaving = true;
	}

	// orders

	/**
	 * Returns the next start or stop, if none is under way.
	 * @param nowMillis the time
	 * @return the order; it counts as sent
	 */
	public Optional<RunnerOrder> nextOrder(long nowMillis) {
		if (this.orderInFlight || this.ended || this.fenced) {
			return Optional.empty();
		}
		Optional<RunnerOrder> order = nextStop(nowMillis).or(() -> nextStart(nowMillis))
			.or(() -> nextThrottle(nowMillis));
		this.orderInFlight = order.isPresent();
		this.orderSentMillis = nowMillis;
		return order;
	}

	/**
	 * Returns the next request for the lists, if it is due and none is under way.
	 * @param nowMillis the time
	 * @return the order; it counts as sent
	 */
	public Optional<RunnerOrder.Heartbeat> nextHeartbeat(long nowMillis) {
		boolean mustWait = this.heartbeatInFlight || this.ended || this.fenced || nowMillis < this.nextHeartbeatMillis
				|| this.proposedEnd > this.committedEnd;
		if (mustWait) {
			return Optional.empty();
		}
		this.heartbeatInFlight = true;
		this.heartbeatNumber++;
		boolean isResponsive = isResponsive(nowMillis);
		// A runner that may hear without being heard must not keep its lease.
		OptionalLong leaseEnd = isResponsive ? grantLease(nowMillis) : OptionalLong.empty();
		int waitMillis = isResponsive ? this.settings.longPollMillis() : 0;
		long acknowledgedEnd = Math.min(this.committedEnd, this.firstUnacknowledgedEnd - 1);
		return Optional.of(new RunnerOrder.Heartbeat(this.fencingToken, acknowledgedEnd, leaseEnd, waitMillis));
	}

	/**
	 * Returns how long to wait for the next answer. An answer that is late because this
	 * host is busy would never come if each connection were given up after the same short
	 * time and the work for the next one began anew.
	 * @return the time in milliseconds, beyond what the order allows
	 */
	public int answerTimeoutMillis() {
		return this.settings.answerTimeoutMillis() << Math.min(this.unansweredCount, MAXIMUM_DOUBLINGS);
	}

	// replies

	/**
	 * Takes note of the reply to a start or a stop.
	 * @param order the order
	 * @param reply the reply
	 * @param nowMillis the time
	 */
	public void onOrderReply(RunnerOrder order, RunnerReply reply, long nowMillis) {
		countUnanswered(reply);
		this.orderInFlight = false;
		this.unanswered = reply instanceof RunnerReply.NoAnswer;
		if (reply instanceof RunnerReply.Accepted accepted) {
			recordClock(accepted.clockMillis(), nowMillis);
		}
		if (order instanceof RunnerOrder.Start start) {
			progress(start.task()).filter((progress) -> progress.run().number() == start.run())
				.ifPresent((progress) -> onStartReply(progress, reply, nowMillis));
		}
		else if (order instanceof RunnerOrder.Stop stop) {
			onStopReply(stop, reply, nowMillis);
		}
		else if (order instanceof RunnerOrder.Throttle pace) {
			onThrottleReply(pace, reply, nowMillis);
		}
	}

	/**
	 * Takes note of the reply to a request for the lists.
	 * @param reply the reply
	 * @param nowMillis the time
	 * @return the ends that have to be committed
	 */
	public List<BatchCommand.End> onHeartbeatReply(RunnerReply reply, long nowMillis) {
		countUnanswered(reply);
		this.heartbeatInFlight = false;
		this.heartbeatUnanswered = reply instanceof RunnerReply.NoAnswer;
		if (reply instanceof RunnerReply.Listing listing) {
			return onListing(listing, nowMillis);
		}
		if (reply instanceof RunnerReply.Refused refused) {
			onRefusal(refused.refusal());
		}
		if (this.leaving && reply == RunnerReply.NoAnswer.CONNECTION_REFUSED) {
			this.ended = true;
		}
		// A runner that stays silent is most likely gone, and each try costs a
		// connection.
		int pauseFactor = isResponsive(nowMillis) ? 1 : SILENT_RETRY_FACTOR;
		this.nextHeartbeatMillis = nowMillis + pauseFactor * this.settings.retryMillis();
		return List.of();
	}

	/**
	 * Gives up the runs that were never ordered if the runner does not answer, so that
	 * they need not wait for the end of its lease.
	 * @param nowMillis the time
	 */
	public void releaseUnorderedRuns(long nowMillis) {
		if (this.contacted && (isAnswerMissing(nowMillis) || !isResponsive(nowMillis))) {
			for (RunProgress progress : this.runs.values()) {
				if (progress.wasNeverOrdered()) {
					release(progress);
				}
			}
		}
	}

	/**
	 * Returns and clears the runs that are certainly not under way and have no end.
	 * @return the releases to commit
	 */
	public List<BatchCommand.Release> drainReleases() {
		if (this.releases.isEmpty()) {
			return List.of();
		}
		List<BatchCommand.Release> drained = List.copyOf(this.releases);
		this.releases.clear();
		return drained;
	}

	/**
	 * Returns releases for all runs, once {@link #haveRunsEnded} says so. The runs are
	 * not ordered again, also if the runner is heard before the releases are committed.
	 * @return the releases to commit
	 */
	public List<BatchCommand.Release> releaseAll() {
		this.runs.values().forEach(RunProgress::markReleased);
		return this.runs.values().stream().map(RunnerSession::releaseOf).toList();
	}

	// helpers

	private void countUnanswered(RunnerReply reply) {
		this.unansweredCount = (reply == RunnerReply.NoAnswer.UNKNOWN) ? this.unansweredCount + 1 : 0;
	}

	private Optional<RunnerOrder> nextStop(long nowMillis) {
		for (Map.Entry<TaskId, Integer> stray : this.unassignedRuns.entrySet()) {
			return Optional.of(new RunnerOrder.Stop(this.fencingToken, stray.getKey(), stray.getValue()));
		}
		return firstRun((progress) -> progress.needsStop(nowMillis))
			.map((progress) -> new RunnerOrder.Stop(this.fencingToken, progress.run().task(), progress.run().number()));
	}

	// A leader asks each session several times in ten milliseconds.
	private Optional<RunProgress> firstRun(Predicate<RunProgress> condition) {
		for (RunProgress progress : this.runs.values()) {
			if (condition.test(progress)) {
				return Optional.of(progress);
			}
		}
		return Optional.empty();
	}

	private Optional<RunnerOrder> nextStart(long nowMillis) {
		if (this.clockMillis.isEmpty() || !isResponsive(nowMillis) || this.unanswered) {
			return Optional.empty();
		}
		Optional<RunProgress> next = firstRun((progress) -> progress.needsStart(nowMillis));
		if (next.isEmpty()) {
			return Optional.empty();
		}
		RunProgress progress = next.get();
		if (this.runner.draining() && progress.wasNeverOrdered()) {
			release(progress);
			return nextStart(nowMillis);
		}
		if (this.runner.draining()) {
			progress.requestStop();
			return nextStop(nowMillis);
		}
		progress.onOrdered();
		return Optional.of(new RunnerOrder.Start(this.fencingToken, progress.run().task(), progress.run().number(),
				progress.content().specification(), progress.content().checkpoint(),
				grantLease(nowMillis).orElseThrow()));
	}

	private Optional<RunnerOrder> nextThrottle(long nowMillis) {
		return this.throttle.nextOutdatedRun(this.runs.values(), nowMillis)
			.map((progress) -> new RunnerOrder.Throttle(this.fencingToken, progress.run().task(),
					progress.run().number(), this.throttle.percent()));
	}

	private void onThrottleReply(RunnerOrder.Throttle pace, RunnerReply reply, long nowMillis) {
		progress(pace.task()).ifPresent((progress) -> progress.retryAt(nowMillis + this.settings.retryMillis()));
		if (reply instanceof RunnerReply.Accepted) {
			this.throttle.confirm(pace.task(), pace.percent());
		}
		else if (reply instanceof RunnerReply.Refused refused) {
			onRefusal(refused.refusal());
		}
	}

	private void onStartReply(RunProgress progress, RunnerReply reply, long nowMillis) {
		progress.retryAt(nowMillis + this.settings.retryMillis());
		if (reply instanceof RunnerReply.Accepted) {
			progress.onStartAccepted(this.heartbeatNumber, nowMillis);
		}
		else if (reply instanceof RunnerReply.Refused refused) {
			onStartRefused(progress, refused.refusal());
		}
	}

	private void onStartRefused(RunProgress progress, RunnerReply.Refusal refusal) {
		switch (refusal) {
			case OUTDATED -> progress.close(this.heartbeatNumber);
			// An earlier order without an answer may still be carried out, so the run is
			// stopped before it is given up.
			case NO_CAPACITY, NO_PERMIT, MALFORMED, UNAVAILABLE -> progress.requestStop();
			case LEASE_EXPIRED -> {
				// The next try carries a new lease end.
			}
			default -> onRefusal(refusal);
		}
	}

	private void onStopReply(RunnerOrder.Stop stop, RunnerReply reply, long nowMillis) {
		this.unassignedRuns.remove(stop.task(), stop.run());
		progress(stop.task()).filter((progress) -> progress.run().number() == stop.run()).ifPresent((progress) -> {
			progress.retryAt(nowMillis + this.settings.retryMillis());
			boolean isClosed = reply instanceof RunnerReply.Accepted || (reply instanceof RunnerReply.Refused refused
					&& refused.refusal() == RunnerReply.Refusal.OUTDATED);
			if (isClosed) {
				progress.onStopAccepted(this.heartbeatNumber);
			}
		});
		if (reply instanceof RunnerReply.Refused refused) {
			onRefusal(refused.refusal());
		}
	}

	private void onRefusal(RunnerReply.Refusal refusal) {
		if (refusal == RunnerReply.Refusal.FENCED) {
			this.fenced = true;
		}
		else if (refusal == RunnerReply.Refusal.OTHER_INCARNATION) {
			this.ended = true;
		}
	}

	private List<BatchCommand.End> onListing(RunnerReply.Listing listing, long nowMillis) {
		boolean isOtherLife = listing.runnerStartMillis().isPresent()
				&& listing.runnerStartMillis().getAsLong() != this.runner.key().bornMillis();
		if (isOtherLife) {
			this.ended = true;
			return List.of();
		}
		this.contacted = true;
		this.lastContactMillis = nowMillis;
		this.unanswered = false;
		recordClock(listing.clockMillis(), nowMillis);
		this.nextHeartbeatMillis = nowMillis;
		Set<TaskId> listed = new HashSet<>();
		listing.running().forEach((running) -> onRunning(running, listed));
		this.throttle.observe(listed.stream().map(this.runs::get).toList(), nowMillis, THROTTLE_PERIOD_MILLIS);
		listing.ended().forEach((end) -> listed.add(end.task()));
		this.runs.values()
			.stream()
			.filter((progress) -> !listed.contains(progress.run().task()))
			.forEach(this::onUnlisted);
		List<BatchCommand.End> fresh = listing.ended()
			.stream()
			.filter((end) -> end.number() > this.proposedEnd)
			.sorted(Comparator.comparingLong(BatchCommand.End::number))
			.toList();
		fresh.forEach((end) -> this.proposedEnd = Math.max(this.proposedEnd, end.number()));
		return fresh;
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
			release(progress);
		}
		else if (progress.isMissing(this.heartbeatNumber)) {
			progress.requestStop();
		}
	}

	private void release(RunProgress progress) {
		if (!progress.isReleased()) {
			progress.markReleased();
			this.releases.add(releaseOf(progress));
		}
	}

	private static BatchCommand.Release releaseOf(RunProgress progress) {
		return new BatchCommand.Release(progress.run().task(), progress.run().number(), progress.checkpoint());
	}

	private OptionalLong grantLease(long nowMillis) {
		if (this.clockMillis.isEmpty()) {
			return OptionalLong.empty();
		}
		this.leaseGrantedMillis = OptionalLong.of(nowMillis);
		long remainingMillis = nowMillis - this.clockReadMillis + this.settings.leaseMillis();
		this.leaseExpiryMillis = Math.max(this.leaseExpiryMillis,
				this.clockReadMillis + this.settings.safeExpiryMillis(remainingMillis));
		return OptionalLong.of(this.clockMillis.getAsLong() + remainingMillis);
	}

	private void recordClock(long newClockMillis, long nowMillis) {
		this.clockMillis = OptionalLong.of(newClockMillis);
		this.clockReadMillis = nowMillis;
	}

	private Optional<RunProgress> progress(TaskId task) {
		return Optional.ofNullable(this.runs.get(task));
	}

}
