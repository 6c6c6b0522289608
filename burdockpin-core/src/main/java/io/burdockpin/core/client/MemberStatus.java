package io.burdockpin.core.client;

import io.burdockpin.core.model.HostName;

/**
 * A member of the control group as the answering member sees it.
 *
 * @param host the host it runs on
 * @param incarnation identifies its data folder
 * @param voter whether it votes
 * @param leader whether it leads
 * @param matchIndex the log index it is known to have, 0 if unknown
 * @param silentMillis how long it has not been heard, 0 if unknown
 */
public record MemberStatus(HostName host, long incarnation, boolean voter, boolean leader, long matchIndex,
		long silentMillis) {

}
