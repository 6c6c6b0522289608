/** Placement of waiting tasks on runners. */
package io.burdockpin.core.batch.lead.plan;
