package io.burdockpin.core.state;

import java.util.Optional;

import io.burdockpin.core.model.HostSpec;

/**
 * The limits of an availability budget. A host counts as out of service whether it was
 * stopped on purpose or failed.
 */
enum BudgetRule {

	/** The minimum percentage of the pool's hosts in service. */
	MINIMUM_IN_SERVICE {
		@Override
		Optional<String> findViolation(HostSpec host, PoolAvailability pool) {
			long required = (long) pool.budget().minimumInServicePercent() * pool.hostCount();
			if (PERCENT * (pool.inServiceCount() - 1L) >= required) {
				return Optional.empty();
			}
			return Optional.of("pool %s would have %d of %d hosts in service, %d%% are required".formatted(pool.name(),
					pool.inServiceCount() - 1, pool.hostCount(), pool.budget().minimumInServicePercent()));
		}
	},

	/** The number of hosts that may be out of service at once. */
	MAXIMUM_HOSTS_OUT {
		@Override
		Optional<String> findViolation(HostSpec host, PoolAvailability pool) {
			int out = pool.hostCount() - pool.inServiceCount() + 1;
			if (out <= pool.budget().maximumHostsOut()) {
				return Optional.empty();
			}
			return Optional.of("pool %s would have %d hosts out, allowed are %d".formatted(pool.name(), out,
					pool.budget().maximumHostsOut()));
		}
	},

	/** The number of racks, that is of failure domains, with a host out of service. */
	MAXIMUM_RACKS_OUT {
		@Override
		Optional<String> findViolation(HostSpec host, PoolAvailability pool) {
			int racks = pool.racksOutWith(RackKey.of(host));
			if (racks <= pool.budget().maximumRacksOut()) {
				return Optional.empty();
			}
			return Optional.of("pool %s would have hosts out in %d racks, allowed are %d".formatted(pool.name(), racks,
					pool.budget().maximumRacksOut()));
		}
	};

	private static final int PERCENT = 100;

	/**
	 * Checks the planned stop of a host that is in service.
	 * @param host a host that counts as in service in the pool
	 * @param pool its pool before the stop
	 * @return the violated limit in words, or empty if the stop is allowed
	 */
	abstract Optional<String> findViolation(HostSpec host, PoolAvailability pool);

}
