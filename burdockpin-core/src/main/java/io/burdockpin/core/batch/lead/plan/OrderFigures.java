package io.burdockpin.core.batch.lead.plan;

import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;

/**
 * Figures of the order of one placement round, over the pools that lacked capacity.
 *
 * @param shortPools number of pools without free capacity for all waiting tasks
 * @param chosenJobs new jobs for which there is capacity until their objective
 * @param deferredJobs new jobs that could be in time alone but do not fit
 * @param beyondWeightJobs new jobs submitted beyond the weight of their workspace
 * @param lateJobs jobs that cannot be in time
 */
public record OrderFigures(int shortPools, int chosenJobs, int deferredJobs, int beyondWeightJobs, int lateJobs) {

	/** No pool lacks capacity. */
	public static final OrderFigures NONE = new OrderFigures(0, 0, 0, 0, 0);

	static OrderFigures of(int shortPools, Collection<Standing> standings) {
		Map<Standing, Integer> counts = new EnumMap<>(Standing.class);
		standings.forEach((standing) -> counts.merge(standing, 1, Integer::sum));
		int chosenBeyond = counts.getOrDefault(Standing.CHOSEN_BEYOND_WEIGHT, 0);
		int deferredBeyond = counts.getOrDefault(Standing.DEFERRED_BEYOND_WEIGHT, 0);
		return new OrderFigures(shortPools, counts.getOrDefault(Standing.CHOSEN, 0) + chosenBeyond,
				counts.getOrDefault(Standing.DEFERRED, 0) + deferredBeyond, chosenBeyond + deferredBeyond,
				counts.getOrDefault(Standing.EARNING, 0) + counts.getOrDefault(Standing.WORTHLESS, 0));
	}

}
