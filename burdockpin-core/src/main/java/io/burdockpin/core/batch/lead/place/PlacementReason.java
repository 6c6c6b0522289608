package io.burdockpin.core.batch.lead.place;

/** Why a task or gang starts on the runners that were chosen, or waits. */
public enum PlacementReason {

	/** The chosen runners are near the data and, for a gang, on one rack. */
	NEAR(true, "no other place is better"),

	/** The settings do not tell how much longer a task takes far from its data. */
	FACTOR_UNKNOWN(true, "the factor of a remote task is not known or not above 1"),

	/** The duration is not known or does not end. */
	DURATION_UNKNOWN(true, "the duration of the task is not known"),

	/** No runner near the data can take the task within a foreseeable time. */
	NO_NEAR_PLACE(true, "no usable runner near the data will have room"),

	/** A near place is expected only after the time at which the wait stops paying. */
	NEAR_PLACE_TOO_LATE(true, "a near place is expected later than the wait pays"),

	/** The wait has reached its end. */
	WAIT_ENDED(true, "the wait has ended"),

	/** A near place is expected soon enough. */
	WAITS(false, "waits for a near place");

	private final boolean starts;

	private final String text;

	PlacementReason(boolean starts, String text) {
		this.starts = starts;
		this.text = text;
	}

	/**
	 * Tells whether the task starts on the chosen runner.
	 * @return {@code false} if it waits
	 */
	public boolean starts() {
		return this.starts;
	}

	/**
	 * Describes the reason for operators.
	 * @return part of a sentence
	 */
	public String text() {
		return this.text;
	}

}
