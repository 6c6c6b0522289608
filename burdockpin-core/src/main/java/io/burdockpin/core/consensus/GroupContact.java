package io.burdockpin.core.consensus;

import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.model.HostName;

/**
 * A leader's view of its group. Immutable.
 *
 * @param self the leader
 * @param membership the newest membership in the leader's log
 * @param silentMillis time since the last contact with each other member, counted from
 * the election at the earliest
 * @param dataCentres the data centres of hosts, as far as the leader knows them
 */
public record GroupContact(MemberId self, Membership membership, Map<MemberId, Long> silentMillis,
		Map<HostName, String> dataCentres) {

	public GroupContact {
		silentMillis = Map.copyOf(silentMillis);
		dataCentres = Map.copyOf(dataCentres);
	}

	/**
	 * Returns how long a member has been silent.
	 * @param id identity of the member
	 * @return milliseconds, 0 for the leader itself
	 */
	long silentMillisOf(MemberId id) {
		return this.silentMillis.getOrDefault(id, 0L);
	}

	Optional<String> dataCentre(HostName host) {
		return Optional.ofNullable(this.dataCentres.get(host));
	}

}
