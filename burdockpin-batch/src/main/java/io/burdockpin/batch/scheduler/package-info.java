/** The state machine of the batch scheduler and the leader's work around it. */
package io.burdockpin.batch.scheduler;
