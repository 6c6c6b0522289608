package io.burdockpin.core.state;

import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.PoolName;

/**
 * A pool in the replicated state.
 *
 * @param name the pool
 * @param budget its availability budget
 * @param spare whether its hosts may be lent to other pools
 * @param version grows with each change
 */
public record PoolRecord(PoolName name, AvailabilityBudget budget, boolean spare, long version) {

}
