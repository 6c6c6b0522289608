/** The replicated state machine of the batch scheduler and its commands. */
package io.burdockpin.core.batch.state;
