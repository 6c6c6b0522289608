/**
 * Decisions of the batch scheduler's leader: placement, runner sessions and leases, pool
 * balancing and maintenance waves.
 */
package io.burdockpin.core.batch.lead;
