package io.burdockpin.batch.call;

import java.util.List;

import io.burdockpin.runtime.link.LinkSettings;

/**
 * Settings of the way to the leader. Immutable.
 *
 * @param host the number of this host
 * @param seedHosts hosts of control members to begin with
 * @param callPort where control members take calls
 * @param tickIntervalMillis period of the checks of deadlines and silence
 * @param checkIntervalMillis period in which the leader is asked whether it still leads
 * @param responseTimeoutMillis how long the leader may be silent before another member is
 * tried
 * @param leaderWaitMillis how long calls wait for a leader; later ones are refused at
 * once
 * @param links settings of the links
 */
public record CallSettings(String host, List<String> seedHosts, int callPort, int tickIntervalMillis,
		int checkIntervalMillis, int responseTimeoutMillis, int leaderWaitMillis, LinkSettings links) {

	public CallSettings {
		seedHosts = List.copyOf(seedHosts);
	}

}
