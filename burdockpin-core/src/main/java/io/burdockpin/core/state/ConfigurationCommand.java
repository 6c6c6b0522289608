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
 * A change of the configuration. These are the only commands that entry hosts receive
 * through the configuration feed.
 */
public sealed interface ConfigurationCommand extends Command {

	/**
	 * Creates a pool without hosts.
	 *
	 * @param pool name of the new pool
	 * @param budget its availability budget
	 * @param spare whether its hosts may be lent to other pools
	 */
	record CreatePool(PoolName pool, AvailabilityBudget budget, boolean spare) implements ConfigurationCommand {

	}

	/**
	 * Replaces the settings of a pool.
	 *
	 * @param pool name of an existing pool
	 * @param budget the new availability budget
	 * @param spare whether its hosts may be lent to other pools
	 */
	record UpdatePool(PoolName pool, AvailabilityBudget budget, boolean spare) implements ConfigurationCommand {

	}

	/**
	 * Deletes a pool that has no hosts.
	 *
	 * @param pool name of the pool
	 */
	record DeletePool(PoolName pool) implements ConfigurationCommand {

	}

	/**
	 * Adds a host to a pool.
	 *
	 * @param host name and properties of the host
	 * @param pool the pool it is added to
	 * @param state its initial state; empty in log entries of earlier versions, which put
	 * the host in service
	 */
	record AddHost(HostSpec host, PoolName pool, Optional<HostState> state) implements ConfigurationCommand {

		/**
		 * Adds a host that is in service immediately, as in log entries of earlier
		 * versions.
		 * @param host name and properties of the host
		 * @param pool the pool it is added to
		 */
		public AddHost(HostSpec host, PoolName pool) {
			this(host, pool, Optional.empty());
		}

		/**
		 * Returns a copy that adds the host as awaited, so that it is not in service
		 * before its worker has reported.
		 * @return the copy in state {@link HostState#AWAITED}
		 */
		public AddHost awaited() {
			return new AddHost(this.host, this.pool, Optional.of(HostState.AWAITED));
		}

	}

	/**
	 * Moves a host to another pool.
	 *
	 * @param host name of the host
	 * @param pool the target pool
	 * @param force whether to move it although it still runs jobs
	 */
	record MoveHost(HostName host, PoolName pool, boolean force) implements ConfigurationCommand {

	}

	/**
	 * Lends an idle host in service from its spare pool to another pool until it is
	 * returned. A single command, so that a failure of the leader cannot leave the move
	 * half done.
	 *
	 * @param host name of the host
	 * @param pool the pool that borrows it
	 */
	record LendHost(HostName host, PoolName pool) implements ConfigurationCommand {

	}

	/**
	 * Moves a lent, idle host in service back to its home pool.
	 *
	 * @param host name of the lent host
	 */
	record ReturnHost(HostName host) implements ConfigurationCommand {

	}

	/**
	 * Removes a host that runs no jobs.
	 *
	 * @param host name of the host
	 */
	record RemoveHost(HostName host) implements ConfigurationCommand {

	}

	/**
	 * Changes the state of a host.
	 *
	 * @param host name of the host
	 * @param state the new state
	 * @param cause the origin of the request
	 */
	record SetHostState(HostName host, HostState state, ChangeCause cause) implements ConfigurationCommand {

	}

	/**
	 * Creates a team.
	 *
	 * @param team name, share and limits of the new team
	 */
	record CreateTeam(TeamSpec team) implements ConfigurationCommand {

	}

	/**
	 * Replaces share and limits of a team.
	 *
	 * @param team the name of an existing team with its new settings
	 */
	record UpdateTeam(TeamSpec team) implements ConfigurationCommand {

	}

	/**
	 * Deletes a team that has no keys, jobs, results or tokens left.
	 *
	 * @param team name of the team
	 */
	record DeleteTeam(TeamName team) implements ConfigurationCommand {

	}

	/**
	 * Grants a key to a team.
	 *
	 * @param team name of the team that may use the key
	 * @param keyHash SHA-256 hash of the key
	 * @param label a description of the key for operators
	 */
	record GrantKey(TeamName team, KeyHash keyHash, String label) implements ConfigurationCommand {

	}

	/**
	 * Withdraws a key permanently. The hash of a withdrawn key can never be granted
	 * again.
	 *
	 * @param keyHash SHA-256 hash of the key
	 */
	record WithdrawKey(KeyHash keyHash) implements ConfigurationCommand {

	}

	/**
	 * Creates a queue.
	 *
	 * @param queue name of the queue
	 * @param open whether requests without a key are accepted
	 */
	record CreateQueue(QueueName queue, boolean open) implements ConfigurationCommand {

	}

	/**
	 * Replaces the settings of a queue.
	 *
	 * @param queue name of the queue
	 * @param open whether requests without a key are accepted
	 */
	record UpdateQueue(QueueName queue, boolean open) implements ConfigurationCommand {

	}

	/**
	 * Deletes a queue.
	 *
	 * @param queue name of the queue
	 */
	record DeleteQueue(QueueName queue) implements ConfigurationCommand {

	}

}
