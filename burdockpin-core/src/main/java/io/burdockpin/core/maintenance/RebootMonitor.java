package io.burdockpin.core.maintenance;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.state.DrainRecord;
import io.burdockpin.core.state.HostRecord;

/**
 * Tells from boot identifiers which hosts have come back from maintenance. Mutable, owned
 * by one planner.
 */
final class RebootMonitor {

	private final long unconfirmedReturnMillis;

	private final Map<HostName, String> bootIds = new HashMap<>();

	private final Map<HostName, MaintenanceStart> maintenanceStarts = new HashMap<>();

	RebootMonitor(long unconfirmedReturnMillis) {
		this.unconfirmedReturnMillis = unconfirmedReturnMillis;
	}

	// life cycle

	/** Forgets all boots, as a new leader does. */
	void reset() {
		this.bootIds.clear();
		this.maintenanceStarts.clear();
	}

	/**
	 * Takes a report.
	 * @param sighting the report
	 */
	void observe(HostBootReport sighting) {
		this.bootIds.put(sighting.host(), sighting.bootId());
	}

	/**
	 * Takes the state of a host in a round.
	 * @param host the host
	 * @param nowMillis the time of the round
	 */
	void observe(HostRecord host, long nowMillis) {
		HostName name = host.spec().name();
		if (host.state() == HostState.DRAINING) {
			this.maintenanceStarts.put(name,
					new MaintenanceStart(Optional.ofNullable(this.bootIds.get(name)), true, nowMillis));
		}
		else if (host.state() == HostState.IN_MAINTENANCE) {
			this.maintenanceStarts.computeIfAbsent(name,
					(key) -> new MaintenanceStart(Optional.ofNullable(this.bootIds.get(name)), false, nowMillis));
		}
		else {
			this.maintenanceStarts.remove(name);
		}
	}

	// access

	/**
	 * Returns the boot that a host last reported from.
	 * @param host the host
	 * @return its boot identifier, or nothing if it has not reported to this leader
	 */
	Optional<String> bootOf(HostName host) {
		return Optional.ofNullable(this.bootIds.get(host));
	}

	/**
	 * Tells whether a host in maintenance has come back.
	 * @param drain the host with the boot that it was drained on
	 * @param nowMillis the time of the round
	 * @return {@code true} if it reports from a new boot, or if it has reported for long
	 * enough to a leader that did not see it go
	 */
	boolean hasReturned(DrainRecord drain, long nowMillis) {
		MaintenanceStart stay = this.maintenanceStarts.get(drain.host());
		String bootId = this.bootIds.get(drain.host());
		if (stay == null || bootId == null) {
			return false;
		}
		// A new leader's first round may come before the first report of a host that has
		// not rebooted yet.
		Optional<String> before = stay.bootId().or(drain::bootId);
		boolean comparable = before.isPresent() || stay.seenFromStart();
		boolean newBoot = comparable && before.filter((old) -> old.equals(bootId)).isEmpty();
		// The host may have rebooted before this leader first heard of it.
		boolean rebootedUnseen = !stay.seenFromStart()
				&& drain.bootId().filter((old) -> !old.equals(bootId)).isPresent();
		boolean longEnough = !stay.seenFromStart() && nowMillis - stay.sinceMillis() >= this.unconfirmedReturnMillis;
		return newBoot || rebootedUnseen || longEnough;
	}

	/**
	 * What was known when the maintenance of a host began.
	 *
	 * @param bootId the boot that the host reported from, if it reported
	 * @param seenFromStart whether this leader saw the drain
	 * @param sinceMillis when this leader first saw the host drain or in maintenance
	 */
	private record MaintenanceStart(Optional<String> bootId, boolean seenFromStart, long sinceMillis) {
	}

}
