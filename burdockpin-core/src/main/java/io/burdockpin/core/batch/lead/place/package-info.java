/** The choice of a runner for a task, and how long a wait for a better one pays. */
package io.burdockpin.core.batch.lead.place;
