package io.burdockpin.core.routing;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import java.util.stream.LongStream;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.util.RemoteClock;

/**
 * The runners that are attached to this entry host, and the attempts that use their
 * slots. The slot of an attempt with an unknown outcome stays in use until the deadline
 * of the attempt plus a margin. Mutable, owned by one actor.
 */
public final class RunnerTable {

	/** Section 13 of the design page: margins are a fifth of their period. */
	private static final int MARGIN_DIVISOR = 5;

	private final RunnerTableSettings settings;

	private final DataCentre localDataCentre;

	private final RandomGenerator random;

	private final Map<RunnerName, AttachedRunner> attachments = new TreeMap<>();

	private final Map<QueueName, RunnerHealth> healthByQueue = new HashMap<>();

	private final Map<Long, SlotUse> usesByAttempt = new HashMap<>();

	private final Map<RunnerName, Integer> useCounts = new HashMap<>();

	/**
	 * Creates an empty table.
	 * @param settings time limits and routing policy
	 * @param localDataCentre data centre of this entry host
	 * @param random breaks ties and adds jitter to pauses
	 */
	public RunnerTable(RunnerTableSettings settings, DataCentre localDataCentre, RandomGenerator random) {
		this.settings = settings;
		this.localDataCentre = localDataCentre;
		this.random = random;
	}

	// life cycle

	/**
	 * Handles an announcement: attaches the runner or renews its attachment.
	 * @param runner the announcement
	 * @param nowMillis the current time
	 * @return {@code false} if the epoch of the announcement is older than that of the
	 * attachment
	 */
	public boolean announce(Runner runner, long nowMillis) {
		AttachedRunner known = this.attachments.get(runner.name());
		if (known != null && runner.epoch() < known.runner.epoch()) {
			return false;
		}
		if (known == null || runner.epoch() > known.runner.epoch() || !runner.queue().equals(known.runner.queue())) {
			attach(runner, nowMillis);
		}
		else {
			known.renew(runner, nowMillis);
		}
		return true;
	}

	/**
	 * Removes attachments that have not been renewed and frees slots whose attempts can
	 * no longer be running.
	 * @param nowMillis the current time
	 * @return the runners that have been detached
	 */
	public List<RunnerName> expire(long nowMillis) {
		expireUses(nowMillis);
		List<RunnerName> detached = new ArrayList<>();
		for (AttachedRunner attachment : List.copyOf(this.attachments.values())) {
			if (nowMillis - attachment.renewedMillis >= this.settings.attachmentMillis()) {
				detach(attachment.runner);
				detached.add(attachment.runner.name());
			}
		}
		return detached;
	}

	/**
	 * Returns when the next attachment or slot expires, unless announcements or attempts
	 * change it before.
	 * @return a time in milliseconds since the epoch, empty if nothing can expire
	 */
	public OptionalLong nextExpiryMillis() {
		LongStream attachmentEnds = this.attachments.values()
			.stream()
			.mapToLong((attachment) -> attachment.renewedMillis + this.settings.attachmentMillis());
		LongStream useEnds = this.usesByAttempt.values().stream().mapToLong(SlotUse::untilMillis);
		return LongStream.concat(attachmentEnds, useEnds).min();
	}

	// attempts

	/**
	 * Takes a slot for an attempt.
	 * @param queue queue of the request
	 * @param attempt number of the attempt
	 * @param excluded runners on which the request has failed, chosen only if no other
	 * runner has a free slot
	 * @param deadlineMillis deadline of the attempt, in milliseconds since the epoch
	 * @param nowMillis the current time
	 * @return the chosen runner, empty if no runner has a free slot
	 */
	public Optional<Runner> beginAttempt(QueueName queue, long attempt, Set<RunnerName> excluded, long deadlineMillis,
			long nowMillis) {
		List<RunnerLoad> candidates = candidates(queue, nowMillis);
		List<RunnerLoad> preferred = candidates.stream()
			.filter((load) -> !excluded.contains(load.runner().name()))
			.toList();
		Optional<RunnerLoad> chosen = this.settings.policy()
			.chooseRunner(preferred.isEmpty() ? candidates : preferred, this.localDataCentre, this.random);
		chosen.ifPresent((load) -> use(load.runner(), attempt, deadlineMillis, nowMillis));
		return chosen.map(RunnerLoad::runner);
	}

	/**
	 * Cancels an attempt before anything was sent.
	 * @param attempt number of the attempt
	 */
	public void cancelAttempt(long attempt) {
		free(attempt).ifPresent((use) -> health(use.queue).onAttemptEnded(use.runner, AttemptVerdict.NEUTRAL, 0, 0));
	}

	/**
	 * Ends an attempt.
	 * @param attempt number of the attempt
	 * @param outcome whether the attempt ran; with an unknown outcome its slot stays in
	 * use
	 * @param verdict conclusion about the health of the runner
	 * @param nowMillis the current time
	 */
	public void endAttempt(long attempt, Outcome outcome, AttemptVerdict verdict, long nowMillis) {
		SlotUse use = this.usesByAttempt.get(attempt);
		if (use == null) {
			return;
		}
		health(use.queue).onAttemptEnded(use.runner, verdict, nowMillis - use.beganMillis, nowMillis);
		if (outcome != Outcome.UNKNOWN) {
			free(attempt);
		}
	}

	// access

	/**
	 * Returns the capacity of the runners of a queue.
	 * @param queue the queue
	 * @param nowMillis the current time
	 * @return slots and service time of the runners that may get new work
	 */
	public QueueCapacity capacity(QueueName queue, long nowMillis) {
		int slots = 0;
		int freeSlots = 0;
		long slotServiceMillis = 0;
		for (AttachedRunner attachment : this.attachments.values()) {
			if (isUsable(attachment, queue, nowMillis)) {
				int capacity = attachment.runner.capacity();
				slots += capacity;
				freeSlots += freeSlots(attachment, nowMillis);
				slotServiceMillis += capacity * health(queue).serviceMillis(attachment.runner.name());
			}
		}
		return (slots > 0) ? new QueueCapacity(slots, freeSlots, slotServiceMillis / slots) : QueueCapacity.NONE;
	}

	/**
	 * Returns the queues that have attached runners.
	 * @return the queues, sorted by name
	 */
	public Set<QueueName> queues() {
		Set<QueueName> queues = new TreeSet<>();
		this.attachments.values().forEach((attachment) -> queues.add(attachment.runner.queue()));
		return queues;
	}

	/**
	 * Counts the attached runners.
	 * @return the counts by queue and state, without counts of 0
	 */
	public List<RunnerCount> runnerCounts() {
		Map<QueueName, Map<RunnerState, Integer>> counts = new TreeMap<>();
		for (AttachedRunner attachment : this.attachments.values()) {
			counts.computeIfAbsent(attachment.runner.queue(), (queue) -> new EnumMap<>(RunnerState.class))
				.merge(state(attachment.runner), 1, Integer::sum);
		}
		List<RunnerCount> list = new ArrayList<>();
		counts.forEach(
				(queue, byState) -> byState.forEach((state, count) -> list.add(new RunnerCount(queue, state, count))));
		return list;
	}

	/**
	 * Returns the queue of an attempt that uses a slot.
	 * @param attempt number of the attempt
	 * @return the queue, empty if the attempt uses no slot of an attached runner
	 */
	public Optional<QueueName> queueOf(long attempt) {
		return Optional.ofNullable(this.usesByAttempt.get(attempt)).map(SlotUse::queue);
	}

	/**
	 * Converts a deadline to the clock of a runner. The runner refuses a request that
	 * arrives after the deadline, regardless of the time spent in transit.
	 * @param runner the runner
	 * @param deadlineMillis the deadline by the local clock
	 * @return a time of the runner's clock that is not after the deadline, empty if the
	 * runner has not announced its clock
	 */
	public OptionalLong deadlineByRunnerClock(RunnerName runner, long deadlineMillis) {
		return RemoteClock.lowerBoundMillis(
				Optional.ofNullable(this.attachments.get(runner)).flatMap((attachment) -> attachment.clock),
				deadlineMillis);
	}

	/**
	 * Returns the attached runners.
	 * @return the newest announcement of each runner
	 */
	public List<Runner> runners() {
		return this.attachments.values().stream().map((attachment) -> attachment.runner).toList();
	}

	/**
	 * Returns how many idle connections may be kept to each runner that may get new work
	 * now.
	 * @param nowMillis the current time
	 * @return the number of connections by attachment
	 */
	public Map<RunnerAttachment, Integer> idleConnectionLimits(long nowMillis) {
		Map<RunnerAttachment, Integer> limits = new HashMap<>();
		for (AttachedRunner attachment : this.attachments.values()) {
			if (isUsable(attachment, attachment.runner.queue(), nowMillis)) {
				limits.put(attachment.runner.attachment(), attachment.runner.idleCapacity());
			}
		}
		return limits;
	}

	/**
	 * Tells whether a runner is attached.
	 * @param runner the runner
	 * @return {@code true} from the first announcement until {@link #expire} detaches it
	 */
	public boolean isAttached(RunnerName runner) {
		return this.attachments.containsKey(runner);
	}

	/**
	 * Counts the slots of a runner that attempts of this entry host use.
	 * @param runner the runner
	 * @return the number of slots, including those of attempts with an unknown outcome
	 */
	public int slotsInUse(RunnerName runner) {
		return this.useCounts.getOrDefault(runner, 0);
	}

	// helpers

	private void attach(Runner runner, long nowMillis) {
		Optional.ofNullable(this.attachments.get(runner.name())).ifPresent((known) -> detach(known.runner));
		this.attachments.put(runner.name(),
				new AttachedRunner(runner, nowMillis, nowMillis + this.settings.maximumRequestMillis()));
		health(runner.queue()).add(runner.name());
	}

	private void detach(Runner runner) {
		this.attachments.remove(runner.name());
		health(runner.queue()).remove(runner.name());
	}

	private List<RunnerLoad> candidates(QueueName queue, long nowMillis) {
		return this.attachments.values()
			.stream()
			.filter((attachment) -> isUsable(attachment, queue, nowMillis) && freeSlots(attachment, nowMillis) > 0)
			.map((attachment) -> new RunnerLoad(attachment.runner, freeSlots(attachment, nowMillis),
					health(queue).serviceMillis(attachment.runner.name())))
			.toList();
	}

	private boolean isUsable(AttachedRunner attachment, QueueName queue, long nowMillis) {
		return attachment.runner.queue().equals(queue) && !attachment.runner.leaving()
				&& nowMillis - attachment.renewedMillis < this.settings.attachmentMillis()
				&& health(queue).isAvailable(attachment.runner.name(), nowMillis);
	}

	private RunnerState state(Runner runner) {
		if (runner.leaving()) {
			return RunnerState.LEAVING;
		}
		return health(runner.queue()).isSetAside(runner.name()) ? RunnerState.SET_ASIDE : RunnerState.IN_SERVICE;
	}

	private int freeSlots(AttachedRunner attachment, long nowMillis) {
		int inUse = slotsInUse(attachment.runner.name()) + attachment.previousHostUse(nowMillis);
		return Math.max(0, attachment.runner.capacity() - inUse);
	}

	private void use(Runner runner, long attempt, long deadlineMillis, long nowMillis) {
		long marginMillis = Math.max(0, deadlineMillis - nowMillis) / MARGIN_DIVISOR;
		this.usesByAttempt.put(attempt,
				new SlotUse(runner.name(), runner.queue(), nowMillis, deadlineMillis + marginMillis));
		this.useCounts.merge(runner.name(), 1, Integer::sum);
		health(runner.queue()).onAttemptStarted(runner.name());
	}

	private Optional<SlotUse> free(long attempt) {
		Optional<SlotUse> use = Optional.ofNullable(this.usesByAttempt.remove(attempt));
		use.ifPresent(this::decrementUseCount);
		return use;
	}

	private void decrementUseCount(SlotUse use) {
		this.useCounts.computeIfPresent(use.runner, (name, count) -> (count > 1) ? count - 1 : null);
	}

	private void expireUses(long nowMillis) {
		Iterator<SlotUse> iterator = this.usesByAttempt.values().iterator();
		while (iterator.hasNext()) {
			SlotUse use = iterator.next();
			if (use.untilMillis <= nowMillis) {
				iterator.remove();
				decrementUseCount(use);
			}
		}
	}

	private RunnerHealth health(QueueName queue) {
		return this.healthByQueue.computeIfAbsent(queue, (name) -> new RunnerHealth(this.random));
	}

	private record SlotUse(RunnerName runner, QueueName queue, long beganMillis, long untilMillis) {

	}

	private static final class AttachedRunner {

		private final long previousHostUseUntilMillis;

		private Runner runner;

		private long renewedMillis;

		private Optional<RemoteClock> clock;

		/**
		 * Slots that attempts of previous entry hosts may still use. Never increases
		 * within an epoch, because no other entry host sends requests to the runner.
		 */
		private int previousHostUseCount;

		private AttachedRunner(Runner runner, long nowMillis, long previousHostUseUntilMillis) {
			this.runner = runner;
			this.renewedMillis = nowMillis;
			this.clock = clock(runner, nowMillis);
			this.previousHostUseCount = runner.slotsInUse();
			this.previousHostUseUntilMillis = previousHostUseUntilMillis;
		}

		private void renew(Runner renewed, long nowMillis) {
			this.runner = renewed;
			this.renewedMillis = nowMillis;
			Optional<RemoteClock> known = this.clock;
			this.clock = clock(renewed, nowMillis).map((newer) -> RemoteClock.best(known, newer));
			this.previousHostUseCount = Math.min(this.previousHostUseCount, renewed.slotsInUse());
		}

		private static Optional<RemoteClock> clock(Runner runner, long nowMillis) {
			return runner.clockMillis().isPresent()
					? Optional.of(new RemoteClock(runner.clockMillis().getAsLong(), nowMillis)) : Optional.empty();
		}

		private int previousHostUse(long nowMillis) {
			return (nowMillis < this.previousHostUseUntilMillis) ? this.previousHostUseCount : 0;
		}

	}

}
