package io.burdockpin.core.batch.lead.place;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchState;

/**
 * The waits of a leader for better places. They are not replicated: a new leader decides
 * again, and counts the wait of a task from when it became ready if that is known. Not
 * thread-safe; owned by the leader.
 */
public final class PlacementWaits {

	/**
	 * Bounds the notices between two drains. A hot rack lets hundreds of steps wait at
	 * once.
	 */
	private static final int MAXIMUM_NOTICES = 20;

	private final PlacementWait rule;

	private final ExpectedCapacity expected;

	private final PlacementObserver observer;

	private final Map<TaskId, Wait> waits = new HashMap<>();

	private final List<WaitNotice> notices = new ArrayList<>();

	/**
	 * Time of the first round of this leader; later ones know when tasks became ready.
	 */
	private OptionalLong firstRoundMillis = OptionalLong.empty();

	private int paid;

	private int unpaid;

	/**
	 * Creates a memory without waits.
	 * @param rule decides about waits
	 * @param expected what the leader expects of the capacity of the fleet
	 */
	public PlacementWaits(PlacementWait rule, ExpectedCapacity expected) {
		this(rule, expected, PlacementObserver.NONE);
	}

	private PlacementWaits(PlacementWait rule, ExpectedCapacity expected, PlacementObserver observer) {
		this.rule = rule;
		this.expected = expected;
		this.observer = observer;
	}

	/**
	 * Returns a memory under which nothing ever waits.
	 * @return memory that does not know the factor of a remote task
	 */
	public static PlacementWaits none() {
		return new PlacementWaits(new PlacementWait(OptionalDouble.empty()), ExpectedCapacity.UNKNOWN);
	}

	/**
	 * Copies the waits, for a round that must not change them.
	 * @param follower follows the decisions of the round
	 * @return memory with the same waits and no notices
	 */
	public PlacementWaits copy(PlacementObserver follower) {
		PlacementWaits copy = new PlacementWaits(this.rule, this.expected, follower);
		copy.waits.putAll(this.waits);
		copy.firstRoundMillis = this.firstRoundMillis;
		return copy;
	}

	/**
	 * Begins a placement round.
	 * @param state replicated state
	 * @param runnerChoice choice of the runners of the round
	 * @param wallMillis current wall-clock time, in milliseconds since the epoch
	 * @return decisions of the round
	 */
	public PlacementRound beginRound(BatchState state, RunnerChoice runnerChoice, long wallMillis) {
		if (this.firstRoundMillis.isEmpty()) {
			this.firstRoundMillis = OptionalLong.of(wallMillis);
		}
		// Tasks that were assigned, or whose job has ended, wait no longer.
		this.waits.entrySet()
			.removeIf((entry) -> !state.isActive(entry.getKey().job()) || state.task(entry.getKey())
				.filter((task) -> task.isWaiting() && task.lastRun() < entry.getValue().run())
				.isEmpty());
		return new PlacementRound(state, runnerChoice, this, wallMillis);
	}

	/**
	 * Returns the steps of which a task waits.
	 * @return first task of each step
	 */
	public Set<TaskId> waitingSteps() {
		return this.waits.keySet().stream().map(TaskId::firstOfStep).collect(Collectors.toSet());
	}

	/**
	 * Returns and clears the notices.
	 * @return notices since the last call, limited in number
	 */
	public List<WaitNotice> drainNotices() {
		List<WaitNotice> drained = List.copyOf(this.notices);
		this.notices.clear();
		return drained;
	}

	/**
	 * Returns and clears the counts.
	 * @return waits that have ended since the last call
	 */
	public WaitCounts drainCounts() {
		WaitCounts counts = new WaitCounts(this.paid, this.unpaid);
		this.paid = 0;
		this.unpaid = 0;
		return counts;
	}

	PlacementWait rule() {
		return this.rule;
	}

	PlacementObserver observer() {
		return this.observer;
	}

	ExpectedCapacity expected() {
		return this.expected;
	}

	OptionalLong endMillis(WaitingTask task) {
		Wait wait = this.waits.get(task.task());
		return (wait != null && wait.run() == task.run()) ? OptionalLong.of(wait.endMillis()) : OptionalLong.empty();
	}

	// A wait under an earlier leader is not known, so it is taken to have begun when the
	// task became ready.
	long beginMillis(WaitingTask task, long wallMillis) {
		long firstMillis = this.firstRoundMillis.orElse(wallMillis);
		return (task.readyMillis().isPresent() && task.readyMillis().getAsLong() < firstMillis)
				? task.readyMillis().getAsLong() : wallMillis;
	}

	void begin(WaitingTask task, long endMillis, long wallMillis) {
		if (this.waits.put(task.task(), new Wait(task.run(), wallMillis, endMillis)) == null) {
			note(new WaitNotice(WaitNotice.Kind.BEGUN, task.task().firstOfStep(), task.request().pool(),
					PlacementReason.WAITS, task.count(), endMillis - wallMillis));
		}
	}

	void end(WaitingTask task, PlacementReason reason, long wallMillis) {
		Wait wait = this.waits.remove(task.task());
		if (wait == null) {
			return;
		}
		boolean isNear = reason == PlacementReason.NEAR;
		this.paid += isNear ? task.count() : 0;
		this.unpaid += isNear ? 0 : task.count();
		note(new WaitNotice(isNear ? WaitNotice.Kind.STARTED_NEAR : WaitNotice.Kind.STARTED_FAR,
				task.task().firstOfStep(), task.request().pool(), reason, task.count(),
				wallMillis - wait.sinceMillis()));
	}

	// The tasks of a step that begin or end their wait in the same round share a notice.
	private void note(WaitNotice notice) {
		for (int index = 0; index < this.notices.size(); index++) {
			WaitNotice known = this.notices.get(index);
			if (known.kind() == notice.kind() && known.reason() == notice.reason()
					&& known.step().equals(notice.step())) {
				this.notices.set(index, new WaitNotice(known.kind(), known.step(), known.pool(), known.reason(),
						known.count() + notice.count(), Math.max(known.millis(), notice.millis())));
				return;
			}
		}
		if (this.notices.size() < MAXIMUM_NOTICES) {
			this.notices.add(notice);
		}
	}

	/**
	 * A task that waits.
	 *
	 * @param run number of the run that has not started
	 * @param sinceMillis when this leader first let it wait, in milliseconds since 1970
	 * @param endMillis latest end of the wait, in milliseconds since 1970
	 */
	private record Wait(int run, long sinceMillis, long endMillis) {

	}

}
