package io.burdockpin.core.batch.model;

import java.util.Set;

import io.burdockpin.core.model.Resources;
import io.burdockpin.core.util.Checks;

/**
 * A workspace, on whose behalf jobs run.
 *
 * @param name the name
 * @param keys the keys that its callers present
 * @param weight its share when everything is full
 * @param upperLimit the most it may have running; 0 in a dimension means no limit
 */
public record Workspace(String name, Set<String> keys, int weight, Resources upperLimit) {

	public Workspace {
		keys = Set.copyOf(keys);
		Checks.range("weight of workspace " + name, weight, 0, Integer.MAX_VALUE);
	}

	/**
	 * Tells whether an amount exceeds the upper limit.
	 * @param running the amount
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
