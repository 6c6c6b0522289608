package io.burdockpin.batch.consensus;

import java.util.List;

import io.burdockpin.core.consensus.ReplicaSettings;
import io.burdockpin.runtime.link.LinkSettings;

/**
 * Settings of the replicated log. Immutable.
 *
 * @param cluster name of the cluster; members of other clusters are not heard
 * @param host the number of this host
 * @param memberPort where each member listens for the others
 * @param foundingHosts the members of a new cluster
 * @param maximumMembers how many members the group grows to
 * @param replica timing and sizes of the log
 * @param links settings of the links between members
 */
public record ConsensusSettings(String cluster, String host, int memberPort, List<String> foundingHosts,
		int maximumMembers, ReplicaSettings replica, LinkSettings links) {

	public ConsensusSettings {
		foundingHosts = List.copyOf(foundingHosts);
	}

	/**
	 * Returns the address at which a member listens.
	 * @param memberHost the number of its host
	 * @return {@code ip:port}
	 */
	public String memberAddress(String memberHost) {
		return memberHost + ":" + this.memberPort;
	}

}
