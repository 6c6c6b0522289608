/** Actors of the replicated log and the state machine of this member. */
package io.burdockpin.control.replica;
