package io.burdockpin.core.routing;

/**
 * Capacity of the attached runners of a queue.
 *
 * @param slots slots of all runners that are neither leaving nor set aside
 * @param freeSlots free slots among them
 * @param serviceMillis recent service time, weighted by the slots of the runners
 */
public record QueueCapacity(int slots, int freeSlots, long serviceMillis) {

	/** No capacity, as without an attached runner. */
	public static final QueueCapacity NONE = new QueueCapacity(0, 0, 0);

}
