/** Structured events for the event log, and the hybrid logical clock. */
package io.burdockpin.core.event;
