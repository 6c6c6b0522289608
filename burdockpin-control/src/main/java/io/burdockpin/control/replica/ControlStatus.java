package io.burdockpin.control.replica;

import java.util.List;

import io.burdockpin.core.client.MemberStatus;
import io.burdockpin.core.consensus.ReplicaStatus;

/**
 * Status of this member. Immutable.
 *
 * @param replica status of the replicated log
 * @param majorityReachable whether this member leads a majority or had recent contact
 * with a leader
 * @param configurationIndex index of the newest configuration change
 * @param subscriberCount number of subscribers of the configuration feed
 * @param members status of the members as known to this member
 * @param diskHangs whether a disk write of this member has been pending for too long
 */
public record ControlStatus(ReplicaStatus replica, boolean majorityReachable, long configurationIndex,
		int subscriberCount, List<MemberStatus> members, boolean diskHangs) {

}
