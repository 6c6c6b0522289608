package io.burdockpin.core.state;

import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.PoolName;

/**
 * A pool in the replicated state.
 *
 * @param name name of the pool
 * @param budget its availability budget
 * @param spare whether its hosts may be lent to other pools
 * @param version log index of the last change, compared with the version an operator
 * expects
 */
public record PoolRecord(PoolName name, AvailabilityBudget budget, boolean spare, long version) {

}
