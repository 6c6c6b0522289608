package io.burdockpin.core.batch.state;

/** Where a host stands in a maintenance wave. */
public enum MaintenancePhase {

	/** Its upkeep was not ordered yet. */
	PENDING(false),

	/** Its upkeep is being ordered; the host counts as down. */
	ORDERED(false),

	/** Its upkeep has begun; the host counts as down. */
	BEGUN(false),

	/** Its runner has come back after the upkeep. */
	DONE(true),

	/** The host does not exist any more. */
	GONE(true);

	private final boolean finished;

	MaintenancePhase(boolean over) {
		this.finished = over;
	}

	/**
	 * Tells whether a host may come to this phase. A command that arrives late or twice
	 * must not begin the upkeep of a host again.
	 * @param previous where the host stands
	 * @return whether this phase follows it
	 */
	public boolean canFollow(MaintenancePhase previous) {
		return switch (this) {
			case PENDING, BEGUN, GONE -> previous == ORDERED;
			case ORDERED -> previous == PENDING;
			case DONE -> previous == BEGUN;
		};
	}

	/**
	 * Tells whether the host may be down for its upkeep.
	 * @return whether it counts against the bound of its wave
	 */
	public boolean isDown() {
		return this == ORDERED || this == BEGUN;
	}

	/**
	 * Tells whether nothing is left to do for the host.
	 * @return whether its part of the wave is over
	 */
	public boolean isFinished() {
		return this.finished;
	}

}
