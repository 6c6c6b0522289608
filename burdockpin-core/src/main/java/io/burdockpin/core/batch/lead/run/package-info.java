/** Sessions with runners: orders, leases, progress and reliability. */
package io.burdockpin.core.batch.lead.run;
