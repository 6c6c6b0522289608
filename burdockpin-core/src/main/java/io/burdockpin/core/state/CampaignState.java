package io.burdockpin.core.state;

/** State of a maintenance campaign. */
public enum CampaignState {

	/** Starts drains within the limits of the availability budgets. */
	RUNNING(true),

	/** Starts no further drains until the operator resumes it. */
	PAUSED(false),

	/** All hosts have been maintained. */
	COMPLETED(false),

	/** Ended by the operator. */
	CANCELLED(false);

	private final boolean startsDrains;

	CampaignState(boolean startsDrains) {
		this.startsDrains = startsDrains;
	}

	/**
	 * Returns whether further drains may start.
	 * @return {@code true} only for {@link #RUNNING}
	 */
	public boolean startsDrains() {
		return this.startsDrains;
	}

	/**
	 * Returns whether the state is final.
	 * @return {@code true} if the campaign is completed or cancelled
	 */
	public boolean ended() {
		return this == COMPLETED || this == CANCELLED;
	}

}
