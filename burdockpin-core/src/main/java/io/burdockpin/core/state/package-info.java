/** The replicated state machine and its commands. */
package io.burdockpin.core.state;
