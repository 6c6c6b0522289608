package io.burdockpin.batch;

import java.nio.file.Path;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.TreeMap;

import io.burdockpin.batch.call.CallSettings;
import io.burdockpin.batch.consensus.ConsensusSettings;
import io.burdockpin.batch.port.HostChannel;
import io.burdockpin.core.batch.call.DataCentreRules;
import io.burdockpin.core.batch.lead.LeaderSettings;
import io.burdockpin.core.batch.lead.plan.OrderRule;
import io.burdockpin.core.batch.lead.pool.BalanceSettings;
import io.burdockpin.core.batch.lead.run.SessionSettings;
import io.burdockpin.core.batch.lead.wave.WaveSettings;
import io.burdockpin.core.consensus.ReplicaSettings;
import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.util.Checks;
import io.burdockpin.runtime.link.LinkSettings;

/**
 * Settings of the programs of the batch scheduler. Immutable.
 *
 * @param cluster name of the cluster
 * @param process name of this process
 * @param host IP address of this host
 * @param dataCentre data centre of this host
 * @param firstStart whether the whole cluster starts for the first time, with empty disks
 * @param dataFolder folder of the replicated log; control members only
 * @param internalPorts first and last port of the range for links between processes
 * @param seeds addresses of control members, {@code ip:port}; their hosts are the
 * founding members of a new cluster
 * @param toleratedMembers number of members that may be lost at the same time
 * @param longestLeaseMillis the longest lease that a runner accepts
 * @param handOverPauseMillis time that has to pass between the orders of two leaders for
 * the same host, from the arrival of one at the platform to that of the next
 * @param upkeepSeconds minimum duration of the maintenance of a host
 * @param graceSeconds time between the request to stop and the end of the process
 * @param addresses listen addresses by kind of client
 * @param platformAddress where the platform accepts orders about hosts
 * @param hostOrdersPerSecond rate limit of the platform for orders about hosts, for all
 * members together
 * @param dataCentres the data centres of the platform, by name; only the names are used;
 * empty in settings files of earlier versions
 * @param remoteFactor how many times as long a task takes far from its data, or a gang
 * that is spread over racks; empty if not known
 * @param clientLimits limits of the clients of this process; may be missing
 * @param placementOrder how the jobs of a pool that lacks capacity are ranked; by least
 * slack if it is missing
 */
public record BatchSettings(String cluster, String process, String host, String dataCentre, boolean firstStart,
		Optional<String> dataFolder, List<Integer> internalPorts, List<String> seeds, int toleratedMembers,
		int longestLeaseMillis, int handOverPauseMillis, double upkeepSeconds, double graceSeconds,
		AddressSettings addresses, Optional<String> platformAddress, double hostOrdersPerSecond,
		Map<String, Object> dataCentres, OptionalDouble remoteFactor, ClientLimitSettings clientLimits,
		Optional<OrderRule> placementOrder) {

	/**
	 * Largest message between the processes. Control hosts accept bodies of up to 8 MiB,
	 * whose records have longer names of fields.
	 */
	public static final int MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024;

	/**
	 * Leaves a fifth of the longest lease as a margin for differences in clock rates.
	 */
	private static final double LEASE_SHARE = 0.8;

	/** A longer lease would only delay the restart of the tasks of a lost runner. */
	private static final int MAXIMUM_LEASE_MILLIS = 6_000;

	/**
	 * Below the limit of 2 s that runners set, and short enough to detect a lost runner.
	 */
	private static final int LONG_POLL_MILLIS = 1_000;

	/** Far above the response time of a runner, but below the time that callers wait. */
	private static final int ANSWER_TIMEOUT_MILLIS = 700;

	/** Runners answer orders within a few milliseconds. */
	private static final int ORDER_OVERDUE_MILLIS = 300;

	private static final int ORDER_RETRY_MILLIS = 150;

	private static final int RUNNER_SILENCE_TIMEOUT_MILLIS = 2_200;

	/** Longer than almost all tasks that do not save checkpoints. */
	private static final int DRAIN_TIMEOUT_MILLIS = 3_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final int HOST_RETURN_TIMEOUT_MILLIS = 5_000;

	private static final int HOST_RETRY_MILLIS = 400;

	/** Typical time from the order of a move until the runner accepts tasks. */
	private static final int POOL_MOVE_MILLIS = 1_700;

	/** Two moves cost about as much as the operation of a host for this time. */
	private static final int IDLE_TIMEOUT_MILLIS = 1_500;

	private static final int MINIMUM_STAY_MILLIS = 2_500;

	private static final int HOST_LIST_PERIOD_MILLIS = 1_500;

	private static final int RUNNER_RETENTION_MILLIS = 60_000;

	private static final int HEARTBEAT_MILLIS = 100;

	/**
	 * The election timeout spans several heartbeats, so that a leader on a busy host
	 * keeps its leadership.
	 */
	private static final int ELECTION_TIMEOUT_MINIMUM_MILLIS = 500;

	private static final int ELECTION_TIMEOUT_MAXIMUM_MILLIS = 1_000;

	private static final int SNAPSHOT_ENTRIES = 4_096;

	private static final int SNAPSHOT_BYTES = 8 * 1024 * 1024;

	private static final int RETAINED_ENTRIES = 512;

	private static final int MAXIMUM_APPEND_BYTES = 1024 * 1024;

	private static final int SNAPSHOT_CHUNK_BYTES = 64 * 1024;

	private static final int HANGING_WRITE_MILLIS = 1_500;

	private static final ReplicaSettings REPLICA = new ReplicaSettings(HEARTBEAT_MILLIS,
			ELECTION_TIMEOUT_MINIMUM_MILLIS, ELECTION_TIMEOUT_MAXIMUM_MILLIS, SNAPSHOT_ENTRIES, SNAPSHOT_BYTES,
			RETAINED_ENTRIES, MAXIMUM_APPEND_BYTES, SNAPSHOT_CHUNK_BYTES, HANGING_WRITE_MILLIS);

	private static final int TICK_INTERVAL_MILLIS = 100;

	private static final int CHECK_INTERVAL_MILLIS = 250;

	private static final int RESPONSE_TIMEOUT_MILLIS = 600;

	/**
	 * Almost all elections end within this time, and callers have time left to retry at
	 * another host.
	 */
	private static final int LEADER_WAIT_MILLIS = 2_000;

	public BatchSettings {
		Checks.name("cluster", cluster);
		Checks.name("process", process);
		if (internalPorts.size() != 2 || internalPorts.get(1) < internalPorts.get(0) + 1) {
			throw new InvalidValueException(
					"internalPorts must be the first and the last port of a range of at least two ports");
		}
		internalPorts = List.copyOf(internalPorts);
		seeds = List.copyOf(seeds);
		Checks.range("toleratedMembers", toleratedMembers, 0, 3);
		dataFolder = dataFolder.filter((folder) -> !folder.isEmpty());
		platformAddress = platformAddress.filter((address) -> !address.isEmpty());
		dataCentres = Optional.ofNullable(dataCentres)
			.map((known) -> Collections.unmodifiableMap(new TreeMap<>(known)))
			.orElse(Map.of());
		remoteFactor = Objects.requireNonNullElse(remoteFactor, OptionalDouble.empty());
		placementOrder = Objects.requireNonNullElse(placementOrder, Optional.empty());
		clientLimits = (clientLimits != null) ? clientLimits : ClientLimitSettings.DEFAULT;
	}

	/**
	 * Returns the data folder of a control member.
	 * @return the folder of the replicated log
	 * @throws InvalidValueException if the settings contain none
	 */
	public Path toDataFolder() {
		return this.dataFolder.map(Path::of)
			.orElseThrow(() -> new InvalidValueException("dataFolder is required for a control member"));
	}

	ConsensusSettings toConsensusSettings() {
		return new ConsensusSettings(this.cluster, this.host, this.dataCentre, this.internalPorts.get(0), seedHosts(),
				2 * this.toleratedMembers + 1, REPLICA, LinkSettings.DEFAULT.withMaximumFrameBytes(MAXIMUM_FRAME_BYTES)
					.withDispatcher(BatchDispatchers.CONSENSUS));
	}

	CallSettings toCallSettings() {
		return new CallSettings(this.host, seedHosts(), this.internalPorts.get(0) + 1, TICK_INTERVAL_MILLIS,
				CHECK_INTERVAL_MILLIS, RESPONSE_TIMEOUT_MILLIS, LEADER_WAIT_MILLIS,
				LinkSettings.DEFAULT.withMaximumFrameBytes(MAXIMUM_FRAME_BYTES).withDispatcher(BatchDispatchers.CALLS));
	}

	LeaderSettings toLeaderSettings() {
		int leaseMillis = (int) Math.min(MAXIMUM_LEASE_MILLIS, LEASE_SHARE * this.longestLeaseMillis);
		int pauseMillis = this.handOverPauseMillis + HostChannel.Send.ANSWER_TIMEOUT_MILLIS;
		return new LeaderSettings(
				new SessionSettings(leaseMillis, LONG_POLL_MILLIS, ANSWER_TIMEOUT_MILLIS, ORDER_OVERDUE_MILLIS,
						ORDER_RETRY_MILLIS, RUNNER_SILENCE_TIMEOUT_MILLIS),
				new WaveSettings(pauseMillis, DRAIN_TIMEOUT_MILLIS, (int) (MILLIS_PER_SECOND * this.upkeepSeconds),
						HOST_RETURN_TIMEOUT_MILLIS, HOST_RETRY_MILLIS),
				new BalanceSettings(pauseMillis, POOL_MOVE_MILLIS, IDLE_TIMEOUT_MILLIS, MINIMUM_STAY_MILLIS,
						HOST_RETRY_MILLIS, HOST_LIST_PERIOD_MILLIS),
				RUNNER_RETENTION_MILLIS, this.hostOrdersPerSecond, this.remoteFactor,
				this.placementOrder.orElse(OrderRule.LEAST_SLACK));
	}

	DataCentreRules toDataCentreRules() {
		Set<String> names = new HashSet<>(this.dataCentres.keySet());
		names.add(this.dataCentre);
		return new DataCentreRules(names);
	}

	/**
	 * Returns the hosts of the seeds.
	 * @return the IP addresses, in the order of the seeds
	 */
	public List<String> seedHosts() {
		return this.seeds.stream().map((seed) -> seed.substring(0, Math.max(0, seed.lastIndexOf(':')))).toList();
	}

	/**
	 * Listen addresses of a process, {@code ip:port}. Immutable.
	 *
	 * @param callers for callers; empty if the process does not serve them
	 * @param readiness for readiness checks of the load balancer; empty if there are none
	 * @param control for runners and operators; empty if the process does not serve them
	 */
	public record AddressSettings(Optional<String> callers, Optional<String> readiness, Optional<String> control) {

		public AddressSettings {
			callers = callers.filter((address) -> !address.isEmpty());
			readiness = readiness.filter((address) -> !address.isEmpty());
			control = control.filter((address) -> !address.isEmpty());
		}

	}

}
