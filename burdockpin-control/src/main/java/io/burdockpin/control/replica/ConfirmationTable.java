package io.burdockpin.control.replica;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import io.burdockpin.core.consensus.ConsensusMessage.FeedConfirmation;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.state.HolderRecord;

/**
 * Tracks the configuration index that each entry host has confirmed to the member it
 * subscribes to. The last report of an unreachable member is kept, so that its
 * subscribers count as unconfirmed. Mutable; owned by the replica actor.
 */
final class ConfirmationTable {

	private final Map<HostName, List<FeedConfirmation>> reports = new HashMap<>();

	void report(HostName member, List<FeedConfirmation> confirmations) {
		this.reports.put(member, List.copyOf(confirmations));
	}

	/**
	 * Returns the data centres in which a configuration may not be in effect yet.
	 * @param index index of the configuration
	 * @param holders the registered entry hosts
	 * @return the data centres with a registered or subscribed host that has not
	 * confirmed the index, sorted
	 */
	List<DataCentre> unconfirmed(long index, List<HolderRecord> holders) {
		Map<HostName, FeedConfirmation> newest = newestByHost();
		TreeSet<DataCentre> dataCentres = new TreeSet<>();
		for (HolderRecord record : holders) {
			if (!record.blocked() && !newest.containsKey(record.holder().host())) {
				dataCentres.add(record.dataCentre());
			}
		}
		newest.values()
			.stream()
			.filter((confirmation) -> confirmation.appliedIndex() < index)
			.forEach((confirmation) -> dataCentres.add(confirmation.dataCentre()));
		return List.copyOf(dataCentres);
	}

	private Map<HostName, FeedConfirmation> newestByHost() {
		Map<HostName, FeedConfirmation> newest = new HashMap<>();
		this.reports.values()
			.stream()
			.flatMap(List::stream)
			.forEach((confirmation) -> newest.merge(confirmation.host(), confirmation,
					(first, second) -> (first.appliedIndex() >= second.appliedIndex()) ? first : second));
		return newest;
	}

}
