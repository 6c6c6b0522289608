package io.burdockpin.control.planner;

import io.burdockpin.core.placement.FleetView;

/**
 * The replicated records that the replica of this member has applied. Immutable.
 *
 * @param leader whether this member has applied all entries of earlier terms as the
 * leader, and a majority has confirmed its leadership after the view was requested
 * @param term the current term; after a change of the term, another member may have been
 * the leader in the meantime
 * @param confirmedMillis when the confirmation was requested, by the clock of this
 * process; no member was elected in a later term before that
 * @param index index of the last applied log entry
 * @param view the records; empty unless this member is the leader
 */
public record ReplicaView(boolean leader, long term, long confirmedMillis, long index, FleetView view) {
}
