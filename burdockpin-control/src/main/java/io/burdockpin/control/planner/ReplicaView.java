package io.burdockpin.control.planner;

import io.burdockpin.core.placement.FleetView;

/**
 * The replicated records that the replica of this member has applied. Immutable.
 *
 * @param leader whether this member is the leader and has applied all entries of earlier
 * terms
 * @param term the current term; after a change of the term, another member may have been
 * the leader in the meantime
 * @param index index of the last applied log entry
 * @param view the records; empty unless this member is the leader
 */
public record ReplicaView(boolean leader, long term, long index, FleetView view) {
}
