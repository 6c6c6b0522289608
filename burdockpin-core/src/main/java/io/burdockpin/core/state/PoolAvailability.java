package io.burdockpin.core.state;

import java.util.HashSet;
import java.util.Set;

import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.PoolName;

/**
 * Counts the hosts of a pool in service and the racks with hosts out of service. Mutable
 * and owned by one {@link AvailabilityCheck}.
 */
final class PoolAvailability {

	private final PoolName name;

	private final AvailabilityBudget budget;

	private final Set<RackKey> racksOut = new HashSet<>();

	private int hostCount;

	private int inServiceCount;

	private long inServiceMillicores;

	PoolAvailability(PoolName name, AvailabilityBudget budget) {
		this.name = name;
		this.budget = budget;
	}

	// configuration

	void add(HostSpec host, boolean inService) {
		this.hostCount++;
		if (inService) {
			this.inServiceCount++;
			this.inServiceMillicores += host.capacity().cpuMillicores();
		}
		else {
			this.racksOut.add(RackKey.of(host));
		}
	}

	void stop(HostSpec host) {
		this.inServiceCount--;
		this.inServiceMillicores -= host.capacity().cpuMillicores();
		this.racksOut.add(RackKey.of(host));
	}

	// access

	PoolName name() {
		return this.name;
	}

	AvailabilityBudget budget() {
		return this.budget;
	}

	int hostCount() {
		return this.hostCount;
	}

	int inServiceCount() {
		return this.inServiceCount;
	}

	long inServiceMillicores() {
		return this.inServiceMillicores;
	}

	boolean isRackOut(RackKey rack) {
		return this.racksOut.contains(rack);
	}

	int racksOutWith(RackKey rack) {
		return isRackOut(rack) ? this.racksOut.size() : this.racksOut.size() + 1;
	}

}
