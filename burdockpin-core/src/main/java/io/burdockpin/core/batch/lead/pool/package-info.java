/** Distribution of the hosts between the pools. */
package io.burdockpin.core.batch.lead.pool;
