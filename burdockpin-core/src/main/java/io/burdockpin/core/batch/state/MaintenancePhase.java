package io.burdockpin.core.batch.state;

/** Phase of a host in a maintenance wave. */
public enum MaintenancePhase {

	/** The maintenance has not been ordered yet. */
	PENDING(false),

	/** The order is being sent; the host counts as down. */
	ORDERED(false),

	/** The maintenance has started; the host counts as down. */
	BEGUN(false),

	/** The runner has returned after the maintenance. */
	DONE(true),

	/** The host no longer exists. */
	GONE(true);

	private final boolean finished;

	MaintenancePhase(boolean over) {
		this.finished = over;
	}

	/**
	 * Tells whether a host may change to this phase. A late or repeated command must not
	 * start the maintenance of a host again.
	 * @param previous the current phase of the host
	 * @return whether the transition is allowed
	 */
	public boolean canFollow(MaintenancePhase previous) {
		return switch (this) {
			case PENDING, BEGUN, GONE -> previous == ORDERED;
			case ORDERED -> previous == PENDING;
			case DONE -> previous == BEGUN;
		};
	}

	/**
	 * Tells whether the host may be down for maintenance.
	 * @return whether it counts towards the limit of its wave
	 */
	public boolean isDown() {
		return this == ORDERED || this == BEGUN;
	}

	/**
	 * Tells whether the phase is final.
	 * @return whether the wave has nothing left to do for the host
	 */
	public boolean isFinished() {
		return this.finished;
	}

}
