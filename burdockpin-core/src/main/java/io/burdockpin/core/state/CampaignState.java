package io.burdockpin.core.state;

/** State of a maintenance campaign. */
public enum CampaignState {

	/** Starts drains as the budgets allow. */
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
	 * Tells whether further drains may start.
	 * @return {@code true} only while running
	 */
	public boolean startsDrains() {
		return this.startsDrains;
	}

	/**
	 * Tells whether the state is final.
	 * @return {@code true} if the campaign is completed or cancelled
	 */
	public boolean ended() {
		return this == COMPLETED || this == CANCELLED;
	}

}
