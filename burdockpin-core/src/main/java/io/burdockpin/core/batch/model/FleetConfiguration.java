package io.burdockpin.core.batch.model;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.model.Payload;

/**
 * Queues, pools and workspaces as configured by an operator. The configuration with the
 * highest version is in force.
 *
 * @param version chosen by the operator; a configuration whose version is not higher than
 * the current one is ignored
 * @param queues the queues, in any order
 * @param pools the pools that the queues refer to, and the spare pools
 * @param workspaces the workspaces on whose behalf jobs run
 * @param document the original document, returned when the configuration is read
 */
public record FleetConfiguration(long version, List<BatchQueue> queues, List<BatchPool> pools,
		List<Workspace> workspaces, Payload document) {

	public FleetConfiguration {
		queues = List.copyOf(queues);
		pools = List.copyOf(pools);
		workspaces = List.copyOf(workspaces);
	}

	/**
	 * Checks that queue addresses, keys and the names of pools and workspaces are unique
	 * and that queues refer to pools that exist.
	 * @throws InvalidValueException if a rule is violated
	 */
	public void requireConsistent() {
		Set<String> poolNames = new HashSet<>();
		this.pools.forEach((pool) -> requireUnique(poolNames, pool.name(), "pool"));
		Set<QueueAddress> addresses = new HashSet<>();
		for (BatchQueue queue : this.queues) {
			if (!addresses.add(queue.address())) {
				throw new InvalidValueException("address %s%s of queue %s is not unique".formatted(queue.host(),
						queue.pathPrefix(), queue.name()));
			}
			if (!poolNames.contains(queue.pool())) {
				throw new InvalidValueException(
						"queue %s refers to pool %s, which does not exist".formatted(queue.name(), queue.pool()));
			}
		}
		Set<String> workspaceNames = new HashSet<>();
		Set<String> keys = new HashSet<>();
		for (Workspace workspace : this.workspaces) {
			requireUnique(workspaceNames, workspace.name(), "workspace");
			workspace.keys().forEach((key) -> requireUnique(keys, key, "key of workspace " + workspace.name()));
		}
	}

	/**
	 * Finds the queue that a call addresses.
	 * @param host the virtual host, in any case
	 * @param path the path of the call
	 * @return the queue of that host with the longest matching path prefix
	 */
	public Optional<BatchQueue> queueAt(String host, String path) {
		return this.queues.stream()
			.filter((queue) -> queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix()))
			.max((left, right) -> Integer.compare(left.pathPrefix().length(), right.pathPrefix().length()));
	}

	/**
	 * Finds a queue by its address.
	 * @param address the host and path prefix of the queue
	 * @return empty if no queue has that address
	 */
	public Optional<BatchQueue> queueWith(QueueAddress address) {
		return this.queues.stream()
			.filter((queue) -> queue.pathPrefix().equals(address.pathPrefix()))
			.filter((queue) -> queue.host().equalsIgnoreCase(address.host()))
			.findFirst();
	}

	/**
	 * Finds a queue by its name. Only for jobs of earlier versions, which were stored
	 * with nothing else.
	 * @param name the name of the queue
	 * @return empty if no queue has that name
	 */
	public Optional<BatchQueue> queueNamed(String name) {
		return this.queues.stream().filter((queue) -> queue.name().equals(name)).findFirst();
	}

	/**
	 * Indexes the queues by their addresses.
	 * @return a new map from address to queue
	 */
	public Map<QueueAddress, BatchQueue> queuesByAddress() {
		// A configuration that an earlier version accepted may have two hosts that differ
		// in case only; the first queue answers calls to both.
		return this.queues.stream()
			.collect(Collectors.toMap(BatchQueue::address, Function.identity(), (first, second) -> first));
	}

	/**
	 * Finds a pool by its name.
	 * @param name the name of the pool
	 * @return empty if no pool has that name
	 */
	public Optional<BatchPool> pool(String name) {
		return this.pools.stream().filter((pool) -> pool.name().equals(name)).findFirst();
	}

	/**
	 * Finds the workspace that a key belongs to.
	 * @param key the key presented by a caller
	 * @return empty if no workspace has that key
	 */
	public Optional<Workspace> workspaceOf(String key) {
		return this.workspaces.stream().filter((workspace) -> workspace.keys().contains(key)).findFirst();
	}

	/**
	 * Finds a workspace by its name.
	 * @param name the name of the workspace
	 * @return empty if no workspace has that name
	 */
	public Optional<Workspace> workspace(String name) {
		return this.workspaces.stream().filter((workspace) -> workspace.name().equals(name)).findFirst();
	}

	// Keys are secrets, so the message names only the workspace of a duplicate key.
	private static void requireUnique(Set<String> known, String value, String what) {
		if (!known.add(value)) {
			throw new InvalidValueException(
					"%s is not unique".formatted(what.startsWith("key") ? what : what + " " + value));
		}
	}

}
