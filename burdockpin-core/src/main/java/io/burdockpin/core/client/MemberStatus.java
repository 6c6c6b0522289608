package io.burdockpin.core.client;

import io.burdockpin.core.model.HostName;

/**
 * Status of a member of the control group as known to the replying member.
 *
 * @param host host of the member
 * @param incarnation identifies the data folder of the member
 * @param voter whether the member votes
 * @param leader whether the member is the leader
 * @param matchIndex highest log index known to be synced on the member, 0 if unknown
 * @param silentMillis time since the last contact with the member, 0 if unknown
 */
public record MemberStatus(HostName host, long incarnation, boolean voter, boolean leader, long matchIndex,
		long silentMillis) {

}
