package io.burdockpin.core.batch.model;

import java.util.Set;

import io.burdockpin.core.model.Resources;
import io.burdockpin.core.util.Checks;

/**
 * A tenant on whose behalf jobs run.
 *
 * @param name unique within a configuration
 * @param keys the keys with which its callers authenticate
 * @param weight relative share of the capacity when demand exceeds it
 * @param upperLimit limit on the resources of its runs; 0 in a dimension means no limit
 */
public record Workspace(String name, Set<String> keys, int weight, Resources upperLimit) {

	public Workspace {
		keys = Set.copyOf(keys);
		Checks.range("weight of workspace " + name, weight, 0, Integer.MAX_VALUE);
	}

	/**
	 * Tells whether an amount of resources exceeds the upper limit.
	 * @param running the total resources of the runs of the workspace
	 * @return whether it is above the limit in a limited dimension
	 */
	public boolean isExceededBy(Resources running) {
		return isAbove(running.cpuMillicores(), this.upperLimit.cpuMillicores())
				|| isAbove(running.memoryMebibytes(), this.upperLimit.memoryMebibytes())
				|| isAbove(running.accelerators(), this.upperLimit.accelerators());
	}

	private static boolean isAbove(int running, int limit) {
		return limit > 0 && running > limit;
	}

}
