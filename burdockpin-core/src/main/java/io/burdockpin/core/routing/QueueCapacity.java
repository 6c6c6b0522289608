package io.burdockpin.core.routing;

/**
 * What the attached runners of a queue can take.
 *
 * @param slots slots of all runners that are neither leaving nor set aside
 * @param freeSlots the free ones
 * @param serviceMillis recent service time
 */
public record QueueCapacity(int slots, int freeSlots, long serviceMillis) {

	/** No runner is attached. */
	public static final QueueCapacity NONE = new QueueCapacity(0, 0, 0);

}
