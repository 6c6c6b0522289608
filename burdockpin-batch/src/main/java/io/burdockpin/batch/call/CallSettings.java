package io.burdockpin.batch.call;

import java.util.List;

import io.burdockpin.runtime.link.LinkSettings;

/**
 * Settings of the calls between processes and the leader. Immutable.
 *
 * @param host the IP address of this host
 * @param seedHosts hosts of the control members that are known at the start
 * @param callPort port at which control members accept calls
 * @param tickIntervalMillis period of the checks of timeouts
 * @param checkIntervalMillis time without contact after which the leader is asked whether
 * it still leads
 * @param responseTimeoutMillis initial time without contact after which another member is
 * tried
 * @param leaderWaitMillis how long calls wait for a leader; after that, they are refused
 * immediately
 * @param links settings of the links
 */
public record CallSettings(String host, List<String> seedHosts, int callPort, int tickIntervalMillis,
		int checkIntervalMillis, int responseTimeoutMillis, int leaderWaitMillis, LinkSettings links) {

	public CallSettings {
		seedHosts = List.copyOf(seedHosts);
	}

}
