package io.burdockpin.control.planner;

import io.burdockpin.core.placement.FleetView;

/**
 * The replicated records as the replica of this member has applied them. Immutable.
 *
 * @param leader whether this member leads and has applied all entries of earlier terms
 * @param term the current term; another term means that another member may have led in
 * between
 * @param index log index up to which the records are applied
 * @param view the records; empty unless this member leads
 */
public record ReplicaView(boolean leader, long term, long index, FleetView view) {
}
