package io.burdockpin.core.batch.lead;

import java.util.OptionalInt;
import java.util.OptionalLong;

import io.burdockpin.core.batch.state.Run;

/** Where the leader stands with one run on a runner. Mutable; belongs to a session. */
final class RunProgress {

	/** What is known about the run. */
	enum Phase {

		/**
		 * Never ordered by this leader, nor listed by the runner; an earlier one may
		 * have.
		 */
		NEW,

		/** Ordered without an answer. */
		UNCONFIRMED,

		/** The runner has it. */
		STARTED,

		/** The runner will not start it any more; its end may be listed. */
		CLOSED

	}

	/** The progress that a runner lists may be this old. */
	private static final int MINIMUM_OBSERVED_MILLIS = 400;

	private final Run run;

	private final RunSpec content;

	private final boolean adopted;

	private Phase phase = Phase.NEW;

	private boolean stopRequested;

	private boolean stopAccepted;

	private long nextTryMillis;

	private long closedAtHeartbeat;

	private long startedAtHeartbeat;

	/** When the runner has confirmed the start; 0 if it has not. */
	private long startedMillis;

	private boolean released;

	private String checkpoint = "";

	private int percent;

	private OptionalInt load = OptionalInt.empty();

	RunProgress(Run run, RunSpec content, boolean adopted) {
		this.run = run;
		this.content = content;
		this.adopted = adopted;
	}

	Run run() {
		return this.run;
	}

	RunSpec content() {
		return this.content;
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

	boolean needsStart(long nowMillis) {
		boolean isOpen = this.phase == Phase.NEW || this.phase == Phase.UNCONFIRMED;
		return isOpen && !this.stopRequested && !this.released && nowMillis >= this.nextTryMillis;
	}

	boolean needsStop(long nowMillis) {
		return this.stopRequested && !this.stopAccepted && !this.released && nowMillis >= this.nextTryMillis;
	}

	// No leader can have ordered such a run, so it may be dropped without a stop.
	boolean wasNeverOrdered() {
		return this.phase == Phase.NEW && !this.adopted;
	}

	void onOrdered() {
		this.phase = Phase.UNCONFIRMED;
	}

	/**
	 * Takes note that the runner has the run.
	 * @param holdNumber the number of the newest request for the lists
	 * @param nowMillis the time
	 */
	void onStartAccepted(long holdNumber, long nowMillis) {
		if (this.phase == Phase.UNCONFIRMED) {
			this.phase = Phase.STARTED;
			this.startedAtHeartbeat = holdNumber;
			this.startedMillis = nowMillis;
		}
	}

	/** Takes note that the run was given up; no order is sent for it any more. */
	void markReleased() {
		this.released = true;
	}

	boolean isReleased() {
		return this.released;
	}

	/**
	 * Tells whether a listing that does not show the run contradicts its start.
	 * @param holdNumber the number of the request that was answered
	 * @return whether the runner had the run before the request was sent
	 */
	boolean isMissing(long holdNumber) {
		return this.phase == Phase.STARTED && holdNumber > this.startedAtHeartbeat;
	}

	void close(long holdNumber) {
		this.phase = Phase.CLOSED;
		this.closedAtHeartbeat = holdNumber;
	}

	/**
	 * Tells whether a listing that does not show the run proves that it is over.
	 * @param holdNumber the number of the request that was answered
	 * @return whether it was sent after the run was closed
	 */
	boolean hasEndedIfUnlisted(long holdNumber) {
		return this.phase == Phase.CLOSED && holdNumber > this.closedAtHeartbeat;
	}

	void requestStop() {
		if (!this.stopRequested) {
			this.stopRequested = true;
			this.nextTryMillis = 0;
		}
	}

	void onStopAccepted(long holdNumber) {
		this.stopAccepted = true;
		close(holdNumber);
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
	 * Relates the tail latency of a serving task to its target.
	 * @return the listed tail divided by the target, 0 without one of them
	 */
	double targetUtilization() {
		return (this.load.isPresent() && this.content.targetMillis().isPresent())
				? (double) this.load.getAsInt() / this.content.targetMillis().getAsInt() : 0;
	}

	/**
	 * Returns how much work the task should have done by now.
	 * @param nowMillis the time
	 * @return the time in milliseconds; nothing if it is not known or too short to tell
	 */
	OptionalLong expectedMillis(long nowMillis) {
		long elapsedMillis = nowMillis - this.startedMillis;
		boolean isTelling = this.phase == Phase.STARTED && this.startedMillis > 0 && !this.stopRequested
				&& elapsedMillis >= MINIMUM_OBSERVED_MILLIS && this.content.estimatedMillis().isPresent();
		return isTelling ? OptionalLong.of(Math.min(elapsedMillis, this.content.estimatedMillis().getAsLong()))
				: OptionalLong.empty();
	}

	/**
	 * Returns how much work the task has done by its estimate.
	 * @return the time in milliseconds
	 */
	double completedMillis() {
		return this.percent * this.content.estimatedMillis().orElse(0) / 100.0;
	}

	boolean needsThrottle(long nowMillis) {
		return this.content.bestEffort() && this.phase == Phase.STARTED && !this.stopRequested && !this.released
				&& nowMillis >= this.nextTryMillis;
	}

}
