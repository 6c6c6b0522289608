package io.burdockpin.control.replica;

import java.util.List;

import io.burdockpin.core.client.MemberStatus;
import io.burdockpin.core.consensus.ReplicaStatus;

/**
 * Where this member stands. Immutable.
 *
 * @param replica the replicated log
 * @param majorityReachable whether it leads a majority or heard a leader lately
 * @param configurationIndex index of the newest configuration change
 * @param subscriberCount subscribers of the configuration feed
 * @param members the members as this one sees them
 * @param diskHangs whether a write of this member has been pending for too long
 */
public record ControlStatus(ReplicaStatus replica, boolean majorityReachable, long configurationIndex,
		int subscriberCount, List<MemberStatus> members, boolean diskHangs) {

}
