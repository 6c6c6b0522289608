package io.burdockpin.core.state;

import java.util.Optional;

import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;

/**
 * A change of the configuration. Exactly these commands are fed to the entry hosts.
 */
public sealed interface ConfigurationCommand extends Command {

	/**
	 * Creates a pool without hosts.
	 *
	 * @param pool the new pool
	 * @param budget its availability budget
	 * @param spare whether its hosts may be lent to other pools
	 */
	record CreatePool(PoolName pool, AvailabilityBudget budget, boolean spare) implements ConfigurationCommand {

	}

	/**
	 * Changes a pool.
	 *
	 * @param pool the pool
	 * @param budget the new availability budget
	 * @param spare whether its hosts may be lent to other pools
	 */
	record UpdatePool(PoolName pool, AvailabilityBudget budget, boolean spare) implements ConfigurationCommand {

	}

	/**
	 * Deletes a pool that has no hosts.
	 *
	 * @param pool the pool
	 */
	record DeletePool(PoolName pool) implements ConfigurationCommand {

	}

	/**
	 * Adds a host to a pool.
	 *
	 * @param host the host
	 * @param pool the pool it joins
	 * @param state its first state; log entries of earlier versions have none and put the
	 * host in service
	 */
	record AddHost(HostSpec host, PoolName pool, Optional<HostState> state) implements ConfigurationCommand {

		/**
		 * Adds a host that is in service at once, as earlier versions did.
		 * @param host the host
		 * @param pool the pool it joins
		 */
		public AddHost(HostSpec host, PoolName pool) {
			this(host, pool, Optional.empty());
		}

		/**
		 * Returns a copy whose host serves only after its worker has reported.
		 * @return the copy
		 */
		public AddHost awaited() {
			return new AddHost(this.host, this.pool, Optional.of(HostState.AWAITED));
		}

	}

	/**
	 * Moves a host to another pool.
	 *
	 * @param host the host
	 * @param pool the pool it joins
	 * @param force whether to move it although it still runs jobs
	 */
	record MoveHost(HostName host, PoolName pool, boolean force) implements ConfigurationCommand {

	}

	/**
	 * Moves an idle host in service from its spare pool to another pool until it returns.
	 * One command, so that no loss of the leader leaves the host half moved.
	 *
	 * @param host the host
	 * @param pool the pool that borrows it
	 */
	record LendHost(HostName host, PoolName pool) implements ConfigurationCommand {

	}

	/**
	 * Moves a lent, idle host in service back to its home pool.
	 *
	 * @param host the host
	 */
	record ReturnHost(HostName host) implements ConfigurationCommand {

	}

	/**
	 * Removes a host that runs no jobs.
	 *
	 * @param host the host
	 */
	record RemoveHost(HostName host) implements ConfigurationCommand {

	}

	/**
	 * Changes the state of a host.
	 *
	 * @param host the host
	 * @param state the new state
	 * @param cause who asks for the change
	 */
	record SetHostState(HostName host, HostState state, ChangeCause cause) implements ConfigurationCommand {

	}

	/**
	 * Creates a team.
	 *
	 * @param team the team
	 */
	record CreateTeam(TeamSpec team) implements ConfigurationCommand {

	}

	/**
	 * Changes share and limits of a team.
	 *
	 * @param team the new values
	 */
	record UpdateTeam(TeamSpec team) implements ConfigurationCommand {

	}

	/**
	 * Deletes a team that has no jobs left.
	 *
	 * @param team the team
	 */
	record DeleteTeam(TeamName team) implements ConfigurationCommand {

	}

	/**
	 * Grants a key to a team.
	 *
	 * @param team the team
	 * @param keyHash hash of the key
	 * @param label a name by which operators know the key
	 */
	record GrantKey(TeamName team, KeyHash keyHash, String label) implements ConfigurationCommand {

	}

	/**
	 * Withdraws a key for good. A withdrawn hash can never be granted again.
	 *
	 * @param keyHash hash of the key
	 */
	record WithdrawKey(KeyHash keyHash) implements ConfigurationCommand {

	}

	/**
	 * Creates a queue.
	 *
	 * @param queue the queue
	 * @param open whether requests without a key are accepted
	 */
	record CreateQueue(QueueName queue, boolean open) implements ConfigurationCommand {

	}

	/**
	 * Changes a queue.
	 *
	 * @param queue the queue
	 * @param open whether requests without a key are accepted
	 */
	record UpdateQueue(QueueName queue, boolean open) implements ConfigurationCommand {

	}

	/**
	 * Deletes a queue.
	 *
	 * @param queue the queue
	 */
	record DeleteQueue(QueueName queue) implements ConfigurationCommand {

	}

}
