/** Effects of closed data centres on runners, hosts and long-running tasks. */
package io.burdockpin.core.batch.lead.closing;
