/** Actors that run the planners on the leader. */
package io.burdockpin.control.planner;
