package io.burdockpin.core.state;

import java.util.List;
import java.util.Optional;

import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Rack;

/**
 * How much of a pool is out, for any reason, against its budget. Immutable.
 *
 * @param budget the pool's budget
 * @param hosts all hosts of the pool
 */
public record PoolAvailability(AvailabilityBudget budget, List<HostRecord> hosts) {

	public PoolAvailability {
		hosts = List.copyOf(hosts);
	}

	/**
	 * Tells why a host must not be drained.
	 * @param host a host of the pool
	 * @return the budget that would be broken, or nothing if the host may be drained or
	 * is out already
	 */
	public Optional<String> refusalToDrain(HostRecord host) {
		if (!host.state().countsAsAvailable()) {
			return Optional.empty();
		}
		List<HostRecord> out = this.hosts.stream()
			.filter((other) -> !other.state().countsAsAvailable() || other.name().equals(host.name()))
			.toList();
		return tooManyHosts(out.size()).or(() -> tooFewInService(out.size())).or(() -> tooManyRacks(out));
	}

	private Optional<String> tooManyHosts(int outCount) {
		return refuseIf(outCount > this.budget.maximumHostsOut(), "%d hosts would be out, allowed are %d", outCount,
				this.budget.maximumHostsOut());
	}

	private Optional<String> tooFewInService(int outCount) {
		long inServiceCount = this.hosts.size() - outCount;
		boolean tooFew = inServiceCount * 100 < (long) this.hosts.size() * this.budget.minimumInServicePercent();
		return refuseIf(tooFew, "%d of %d hosts would stay in service, needed are %d%%", inServiceCount,
				this.hosts.size(), this.budget.minimumInServicePercent());
	}

	private Optional<String> tooManyRacks(List<HostRecord> out) {
		long rackCount = out.stream().map(RackPlace::of).distinct().count();
		return refuseIf(rackCount > this.budget.maximumRacksOut(), "%d racks would have a host out, allowed are %d",
				rackCount, this.budget.maximumRacksOut());
	}

	private static Optional<String> refuseIf(boolean refused, String reason, Object... arguments) {
		return refused ? Optional.of(reason.formatted(arguments)) : Optional.empty();
	}

	/** A rack; the same name in two data centres means two racks. */
	private record RackPlace(DataCentre dataCentre, Rack rack) {

		private static RackPlace of(HostRecord host) {
			return new RackPlace(host.spec().dataCentre(), host.spec().rack());
		}

	}

}
