/** The actor that owns the state machine of the batch scheduler and acts as leader. */
package io.burdockpin.batch.scheduler;
