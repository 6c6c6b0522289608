package io.burdockpin.core.batch.lead.run;

import java.util.OptionalInt;
import java.util.OptionalLong;

import io.burdockpin.core.batch.state.Run;

/**
 * Progress of one run on a runner, as known to the leader. Not thread-safe; owned by a
 * {@link RunnerSession}.
 */
final class RunProgress {

	/** Phase of the run. */
	enum Phase {

		/**
		 * Neither ordered by this leader nor listed by the runner; an earlier leader may
		 * have ordered it.
		 */
		NEW,

		/** Ordered, but not confirmed by the runner. */
		UNCONFIRMED,

		/** Confirmed or listed by the runner. */
		STARTED,

		/** The runner will not start it any more, and may list its end. */
		CLOSED

	}

	/**
	 * Minimum time since the start for a comparison with the estimate, since listed
	 * progress may be this old.
	 */
	private static final int MINIMUM_OBSERVED_MILLIS = 400;

	private final Run run;

	private final RunSpec spec;

	private final boolean adopted;

	private Phase phase = Phase.NEW;

	private boolean stopRequested;

	private boolean stopAccepted;

	private long nextTryMillis;

	private long closedAtHeartbeat;

	private long startedAtHeartbeat;

	/** Time at which the runner confirmed the start, or 0. */
	private long startedMillis;

	private boolean released;

	private String checkpoint = "";

	private int percent;

	private OptionalInt load = OptionalInt.empty();

	RunProgress(Run run, RunSpec spec, boolean adopted) {
		this.run = run;
		this.spec = spec;
		this.adopted = adopted;
	}

	Run run() {
		return this.run;
	}

	RunSpec spec() {
		return this.spec;
	}

	boolean isAdopted() {
		return this.adopted;
	}

	Phase phase() {
		return this.phase;
	}

	String checkpoint() {
		return this.checkpoint;
	}

	int percent() {
		return this.percent;
	}

	boolean stopRequested() {
		return this.stopRequested;
	}

	/**
	 * Checks whether the run is to be started and its runner has not confirmed it.
	 * @return {@code true} also if an order was sent, which may still be carried out
	 */
	boolean isUnconfirmed() {
		boolean isOpen = this.phase == Phase.NEW || this.phase == Phase.UNCONFIRMED;
		return isOpen && !this.stopRequested && !this.released;
	}

	boolean needsStart(long nowMillis) {
		return isUnconfirmed() && nowMillis >= this.nextTryMillis;
	}

	boolean needsStop(long nowMillis) {
		return this.stopRequested && !this.stopAccepted && !this.released && nowMillis >= this.nextTryMillis;
	}

	// Such a run can be released without a stop order, since no leader can have ordered
	// it.
	boolean wasNeverOrdered() {
		return this.phase == Phase.NEW && !this.adopted;
	}

	void onOrdered() {
		this.phase = Phase.UNCONFIRMED;
	}

	/**
	 * Handles the confirmation that the runner has the run.
	 * @param heartbeatNumber number of the latest heartbeat
	 * @param nowMillis current time, in milliseconds
	 */
	void onStartAccepted(long heartbeatNumber, long nowMillis) {
		if (this.phase == Phase.UNCONFIRMED) {
			this.phase = Phase.STARTED;
			this.startedAtHeartbeat = heartbeatNumber;
			this.startedMillis = nowMillis;
		}
	}

	/** Marks the run as released; no more orders are sent for it. */
	void markReleased() {
		this.released = true;
	}

	boolean isReleased() {
		return this.released;
	}

	/**
	 * Checks whether a listing without the run contradicts its confirmed start.
	 * @param heartbeatNumber number of the answered heartbeat
	 * @return {@code true} if the runner had the run before the heartbeat was sent
	 */
	boolean isMissing(long heartbeatNumber) {
		return this.phase == Phase.STARTED && heartbeatNumber > this.startedAtHeartbeat;
	}

	void close(long heartbeatNumber) {
		this.phase = Phase.CLOSED;
		this.closedAtHeartbeat = heartbeatNumber;
	}

	/**
	 * Checks whether a listing without the run proves that it has ended.
	 * @param heartbeatNumber number of the answered heartbeat
	 * @return {@code true} if the heartbeat was sent after the run was closed
	 */
	boolean hasEndedIfUnlisted(long heartbeatNumber) {
		return this.phase == Phase.CLOSED && heartbeatNumber > this.closedAtHeartbeat;
	}

	void requestStop() {
		if (!this.stopRequested) {
			this.stopRequested = true;
			this.nextTryMillis = 0;
		}
	}

	void onStopAccepted(long heartbeatNumber) {
		this.stopAccepted = true;
		close(heartbeatNumber);
	}

	void retryAt(long millis) {
		this.nextTryMillis = millis;
	}

	void onListed(RunnerReply.RunningTask row) {
		if (this.phase != Phase.CLOSED) {
			this.phase = Phase.STARTED;
		}
		this.checkpoint = row.checkpoint().isEmpty() ? this.checkpoint : row.checkpoint();
		this.percent = row.percent();
		this.load = row.load();
	}

	/**
	 * Returns the ratio of the tail latency of a serving task to its target.
	 * @return ratio, or 0 if the latency or the target is not known
	 */
	double targetUtilization() {
		return (this.load.isPresent() && this.spec.targetMillis().isPresent())
				? (double) this.load.getAsInt() / this.spec.targetMillis().getAsInt() : 0;
	}

	/**
	 * Returns the amount of work that the task should have completed by now.
	 * @param nowMillis current time, in milliseconds
	 * @return work in milliseconds, or empty if there is no estimate or the run is too
	 * recent
	 */
	OptionalLong expectedMillis(long nowMillis) {
		long elapsedMillis = nowMillis - this.startedMillis;
		boolean isComparable = this.phase == Phase.STARTED && this.startedMillis > 0 && !this.stopRequested
				&& elapsedMillis >= MINIMUM_OBSERVED_MILLIS && this.spec.estimatedMillis().isPresent();
		return isComparable ? OptionalLong.of(Math.min(elapsedMillis, this.spec.estimatedMillis().getAsLong()))
				: OptionalLong.empty();
	}

	/**
	 * Returns the amount of completed work, from the listed progress and the estimate.
	 * @return work in milliseconds
	 */
	double completedMillis() {
		return this.percent * this.spec.estimatedMillis().orElse(0) / 100.0;
	}

	boolean needsThrottle(long nowMillis) {
		return this.spec.bestEffort() && this.phase == Phase.STARTED && !this.stopRequested && !this.released
				&& nowMillis >= this.nextTryMillis;
	}

}
