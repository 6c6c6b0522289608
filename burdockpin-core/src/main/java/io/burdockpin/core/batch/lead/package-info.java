/** What the leader decides: placements, orders to runners, leases and waves. */
package io.burdockpin.core.batch.lead;
