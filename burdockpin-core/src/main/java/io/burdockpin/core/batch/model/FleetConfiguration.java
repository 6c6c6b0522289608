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
 * Queues, pools and workspaces as an operator has set them. The highest version is in
 * force.
 *
 * @param version the version
 * @param queues the queues
 * @param pools the pools
 * @param workspaces the workspaces
 * @param document the document as the operator sent it, for reading it back
 */
public record FleetConfiguration(long version, List<BatchQueue> queues, List<BatchPool> pools,
		List<Workspace> workspaces, Payload document) {

	public FleetConfiguration {
		queues = List.copyOf(queues);
		pools = List.copyOf(pools);
		workspaces = List.copyOf(workspaces);
	}

	/**
	 * Checks that names and keys are used once and that queues name pools that exist.
	 * @throws InvalidValueException if they do not
	 */
	public void requireConsistent() {
		Set<String> poolNames = new HashSet<>();
		this.pools.forEach((pool) -> requireUnique(poolNames, pool.name(), "pool"));
		Set<String> queueNames = new HashSet<>();
		Set<String> places = new HashSet<>();
		for (BatchQueue queue : this.queues) {
			requireUnique(queueNames, queue.name(), "queue");
			requireUnique(places, queue.host() + queue.pathPrefix(), "address");
			if (!poolNames.contains(queue.pool())) {
				throw new InvalidValueException("queue %s names unknown pool %s".formatted(queue.name(), queue.pool()));
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
	 * @param host the virtual host
	 * @param path the path
	 * @return the queue with the longest prefix
	 */
	public Optional<BatchQueue> queueAt(String host, String path) {
		return this.queues.stream()
			.filter((queue) -> queue.host().equalsIgnoreCase(host) && path.startsWith(queue.pathPrefix()))
			.max((left, right) -> Integer.compare(left.pathPrefix().length(), right.pathPrefix().length()));
	}

	/**
	 * Finds a queue by its name.
	 * @param name the name
	 * @return the queue
	 */
	public Optional<BatchQueue> queue(String name) {
		return this.queues.stream().filter((queue) -> queue.name().equals(name)).findFirst();
	}

	/**
	 * Returns the queues by their names, for a look at many jobs.
	 * @return the queues
	 */
	public Map<String, BatchQueue> queuesByName() {
		return this.queues.stream().collect(Collectors.toMap(BatchQueue::name, Function.identity()));
	}

	/**
	 * Finds a pool by its name.
	 * @param name the name
	 * @return the pool
	 */
	public Optional<BatchPool> pool(String name) {
		return this.pools.stream().filter((pool) -> pool.name().equals(name)).findFirst();
	}

	/**
	 * Finds the workspace that a key belongs to.
	 * @param key the key
	 * @return the workspace
	 */
	public Optional<Workspace> workspaceOf(String key) {
		return this.workspaces.stream().filter((workspace) -> workspace.keys().contains(key)).findFirst();
	}

	/**
	 * Finds a workspace by its name.
	 * @param name the name
	 * @return the workspace
	 */
	public Optional<Workspace> workspace(String name) {
		return this.workspaces.stream().filter((workspace) -> workspace.name().equals(name)).findFirst();
	}

	private static void requireUnique(Set<String> known, String value, String what) {
		if (!known.add(value)) {
			throw new InvalidValueException(
					"%s is used twice".formatted(what.startsWith("key") ? what : what + " " + value));
		}
	}

}
