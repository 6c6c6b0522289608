/** Concurrency tokens that the control group leases to this entry host. */
package io.burdockpin.entry.token;
