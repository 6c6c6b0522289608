package io.burdockpin.core.admission;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.KeyRecord;
import io.burdockpin.core.state.QueueRecord;
import io.burdockpin.core.state.TeamRecord;

/**
 * The part of the configuration that entry hosts need at one log index: queues, teams,
 * keys and the capacities of the workers. Immutable.
 */
public final class ConfigurationView {

	/** The empty configuration, at index 0. */
	public static final ConfigurationView EMPTY = new ConfigurationView(0, Map.of(), Map.of(), Map.of(), Map.of());

	private final long index;

	private final Map<QueueName, QueueRecord> queues;

	private final Map<TeamName, TeamRecord> teams;

	private final Map<KeyHash, KeyRecord> keys;

	private final Map<HostName, Resources> capacities;

	private ConfigurationView(long index, Map<QueueName, QueueRecord> queues, Map<TeamName, TeamRecord> teams,
			Map<KeyHash, KeyRecord> keys, Map<HostName, Resources> capacities) {
		this.index = index;
		this.queues = queues;
		this.teams = teams;
		this.keys = keys;
		this.capacities = capacities;
	}

	// life cycle

	/**
	 * Creates a view from a snapshot.
	 * @param snapshot the snapshot
	 * @return the view at the index of the snapshot
	 */
	public static ConfigurationView of(ConfigurationSnapshot snapshot) {
		return new ConfigurationView(snapshot.index(), byName(snapshot.queues(), QueueRecord::name),
				byName(snapshot.teams(), (record) -> record.spec().name()), byName(snapshot.keys(), KeyRecord::hash),
				snapshot.hosts()
					.stream()
					.collect(Collectors.toUnmodifiableMap((host) -> host.spec().name(),
							(host) -> host.spec().capacity())));
	}

	/**
	 * Returns a copy with one committed change.
	 * @param newIndex log index of the change, higher than the index of this view
	 * @param command the change
	 * @return the copy, at the new index
	 */
	public ConfigurationView with(long newIndex, ConfigurationCommand command) {
		Map<QueueName, QueueRecord> newQueues = new HashMap<>(this.queues);
		Map<TeamName, TeamRecord> newTeams = new HashMap<>(this.teams);
		Map<KeyHash, KeyRecord> newKeys = new HashMap<>(this.keys);
		applyToQueues(newQueues, command, newIndex);
		applyToTeams(newTeams, command, newIndex);
		applyToKeys(newKeys, command, newIndex);
		return new ConfigurationView(newIndex, newQueues, newTeams, newKeys, capacitiesAfter(command));
	}

	// access

	/**
	 * Returns the log index of the last change.
	 * @return the index, 0 for the empty configuration
	 */
	public long index() {
		return this.index;
	}

	/**
	 * Finds a queue.
	 * @param name name of the queue
	 * @return the queue, empty if it does not exist
	 */
	public Optional<QueueRecord> queue(QueueName name) {
		return Optional.ofNullable(this.queues.get(name));
	}

	/**
	 * Finds a team.
	 * @param name name of the team
	 * @return the team, empty if it does not exist
	 */
	public Optional<TeamRecord> team(TeamName name) {
		return Optional.ofNullable(this.teams.get(name));
	}

	/**
	 * Finds a key.
	 * @param hash hash of the key
	 * @return the key, which may be withdrawn, empty if it was never granted
	 */
	public Optional<KeyRecord> key(KeyHash hash) {
		return Optional.ofNullable(this.keys.get(hash));
	}

	/**
	 * Finds the capacity of a worker.
	 * @param worker the worker
	 * @return its capacity, empty if the worker does not exist or the configuration was
	 * received from another entry host, which does not send hosts
	 */
	public Optional<Resources> capacity(HostName worker) {
		return Optional.ofNullable(this.capacities.get(worker));
	}

	/**
	 * Creates a snapshot for another entry host.
	 * @return a snapshot without pools and hosts
	 */
	public ConfigurationSnapshot snapshot() {
		return new ConfigurationSnapshot(this.index, List.of(), List.of(), List.copyOf(this.teams.values()),
				List.copyOf(this.keys.values()), List.copyOf(this.queues.values()));
	}

	/**
	 * Returns the withdrawn keys.
	 * @return the hashes of the keys
	 */
	public Set<KeyHash> withdrawnKeys() {
		return this.keys.values()
			.stream()
			.filter(KeyRecord::withdrawn)
			.map(KeyRecord::hash)
			.collect(Collectors.toUnmodifiableSet());
	}

	// helpers

	private Map<HostName, Resources> capacitiesAfter(ConfigurationCommand command) {
		Map<HostName, Resources> changed = new HashMap<>(this.capacities);
		if (command instanceof ConfigurationCommand.AddHost add) {
			changed.put(add.host().name(), add.host().capacity());
		}
		else if (command instanceof ConfigurationCommand.RemoveHost remove) {
			changed.remove(remove.host());
		}
		return changed;
	}

	private static <K, R> Map<K, R> byName(List<R> records, Function<R, K> name) {
		return records.stream().collect(Collectors.toUnmodifiableMap(name, Function.identity()));
	}

	private static void applyToQueues(Map<QueueName, QueueRecord> queues, ConfigurationCommand command, long version) {
		if (command instanceof ConfigurationCommand.CreateQueue create) {
			queues.put(create.queue(), new QueueRecord(create.queue(), create.open(), version));
		}
		else if (command instanceof ConfigurationCommand.UpdateQueue update) {
			queues.put(update.queue(), new QueueRecord(update.queue(), update.open(), version));
		}
		else if (command instanceof ConfigurationCommand.DeleteQueue delete) {
			queues.remove(delete.queue());
		}
	}

	private static void applyToTeams(Map<TeamName, TeamRecord> teams, ConfigurationCommand command, long version) {
		if (command instanceof ConfigurationCommand.CreateTeam create) {
			teams.put(create.team().name(), new TeamRecord(create.team(), version));
		}
		else if (command instanceof ConfigurationCommand.UpdateTeam update) {
			teams.put(update.team().name(), new TeamRecord(update.team(), version));
		}
		else if (command instanceof ConfigurationCommand.DeleteTeam delete) {
			teams.remove(delete.team());
		}
	}

	private static void applyToKeys(Map<KeyHash, KeyRecord> keys, ConfigurationCommand command, long version) {
		if (command instanceof ConfigurationCommand.GrantKey grant) {
			keys.put(grant.keyHash(), new KeyRecord(grant.keyHash(), grant.team(), grant.label(), false, version));
		}
		else if (command instanceof ConfigurationCommand.WithdrawKey withdraw) {
			keys.computeIfPresent(withdraw.keyHash(),
					(hash, key) -> new KeyRecord(hash, key.team(), key.label(), true, version));
		}
	}

}
