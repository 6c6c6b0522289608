package io.burdockpin.timeline.check;

/**
 * Bounds of the checks. Immutable.
 *
 * @param withdrawalBoundMillis how long a withdrawn key may still be accepted elsewhere
 */
public record CheckSettings(long withdrawalBoundMillis) {

	/** Configuration is in force everywhere within 8 s (design section 1.6). */
	public static final CheckSettings DEFAULT = new CheckSettings(8000);

}
