/** The actors around the planners of the leader. */
package io.burdockpin.control.planner;
