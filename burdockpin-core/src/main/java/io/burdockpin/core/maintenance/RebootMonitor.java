package io.burdockpin.core.maintenance;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.state.DrainRecord;
import io.burdockpin.core.state.HostRecord;

/**
 * Detects from boot identifiers which hosts have returned from maintenance. Not
 * thread-safe; owned by one planner.
 */
final class RebootMonitor {

	private final long unconfirmedReturnMillis;

	private final Map<HostName, String> bootIds = new HashMap<>();

	private final Map<HostName, MaintenanceStart> maintenanceStarts = new HashMap<>();

	RebootMonitor(long unconfirmedReturnMillis) {
		this.unconfirmedReturnMillis = unconfirmedReturnMillis;
	}

	// life cycle

	/** Discards all boot identifiers at the start of a new term. */
	void reset() {
		this.bootIds.clear();
		this.maintenanceStarts.clear();
	}

	/**
	 * Handles the boot report of a host.
	 * @param report the current boot of the host
	 */
	void observe(HostBootReport report) {
		this.bootIds.put(report.host(), report.bootId());
	}

	/**
	 * Updates the start of the maintenance of a host from its state in a round.
	 * @param host the replicated record of the host
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
	 * Returns the last reported boot identifier of a host.
	 * @param host the host, in any state
	 * @return the boot identifier, or empty if the host has not reported in this term
	 */
	Optional<String> bootOf(HostName host) {
		return Optional.ofNullable(this.bootIds.get(host));
	}

	/**
	 * Returns whether a host in maintenance has returned.
	 * @param drain the drain of the host, with the boot identifier at its start
	 * @param nowMillis the time of the round
	 * @return {@code true} if the host reports from a new boot, or if the leader did not
	 * observe the drain and the period for an unconfirmed return has passed
	 */
	boolean hasReturned(DrainRecord drain, long nowMillis) {
		MaintenanceStart start = this.maintenanceStarts.get(drain.host());
		String bootId = this.bootIds.get(drain.host());
		if (start == null || bootId == null) {
			return false;
		}
		// The first round of a new leader may precede the first report of a host that has
		// not rebooted yet. Without the recorded boot identifier that report would look
		// like a new boot.
		Optional<String> before = start.bootId().or(drain::bootId);
		boolean comparable = before.isPresent() || start.seenFromStart();
		boolean newBoot = comparable && before.filter((old) -> old.equals(bootId)).isEmpty();
		// The host may have rebooted before its first report to this leader.
		boolean rebootedUnseen = !start.seenFromStart()
				&& drain.bootId().filter((old) -> !old.equals(bootId)).isPresent();
		boolean longEnough = !start.seenFromStart() && nowMillis - start.sinceMillis() >= this.unconfirmedReturnMillis;
		return newBoot || rebootedUnseen || longEnough;
	}

	/**
	 * Start of the maintenance of a host, as observed by this leader.
	 *
	 * @param bootId the last reported boot identifier, or empty if the host had not
	 * reported
	 * @param seenFromStart whether this leader observed the drain
	 * @param sinceMillis when this leader last observed the host draining or first
	 * observed it in maintenance
	 */
	private record MaintenanceStart(Optional<String> bootId, boolean seenFromStart, long sinceMillis) {
	}

}
