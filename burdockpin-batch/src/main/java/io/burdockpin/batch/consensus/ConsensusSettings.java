package io.burdockpin.batch.consensus;

import java.util.List;

import io.burdockpin.core.consensus.ReplicaSettings;
import io.burdockpin.runtime.link.LinkSettings;

/**
 * Settings of the replicated log. Immutable.
 *
 * @param cluster name of the cluster; messages from other clusters are dropped
 * @param host the IP address of this host
 * @param dataCentre data centre of this host
 * @param memberPort port at which each member listens for other members
 * @param foundingHosts the hosts of the founding members of a new cluster
 * @param intendedVoters number of voters of a complete group
 * @param replica timing and sizes of the log
 * @param links settings of the links between members
 */
public record ConsensusSettings(String cluster, String host, String dataCentre, int memberPort,
		List<String> foundingHosts, int intendedVoters, ReplicaSettings replica, LinkSettings links) {

	public ConsensusSettings {
		foundingHosts = List.copyOf(foundingHosts);
	}

	/**
	 * Returns the address at which a member listens for other members.
	 * @param memberHost the IP address of its host
	 * @return {@code ip:port}
	 */
	public String memberAddress(String memberHost) {
		return memberHost + ":" + this.memberPort;
	}

}
