package io.burdockpin.batch;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.burdockpin.batch.call.CallSettings;
import io.burdockpin.batch.consensus.ConsensusSettings;
import io.burdockpin.core.batch.lead.BalanceSettings;
import io.burdockpin.core.batch.lead.LeaderSettings;
import io.burdockpin.core.batch.lead.SessionSettings;
import io.burdockpin.core.batch.lead.WaveSettings;
import io.burdockpin.core.consensus.ReplicaSettings;
import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.util.Checks;
import io.burdockpin.runtime.link.LinkSettings;

/**
 * Settings of the programs of the batch scheduler. Immutable.
 *
 * @param cluster name of the cluster
 * @param process name of this process
 * @param host number of this host
 * @param dataCentre where the host stands
 * @param firstStart whether the whole cluster starts for the first time, with empty disks
 * @param dataFolder folder of the replicated log; control members only
 * @param internalPorts first and last port that members may use among themselves
 * @param seeds addresses of control members, {@code ip:port}; their hosts found a new
 * cluster
 * @param toleratedMembers how many members may be lost at a time
 * @param longestLeaseMillis the longest lease that a runner grants
 * @param handOverPauseMillis pause before a new leader gives orders about hosts
 * @param upkeepSeconds how long the upkeep of a host takes at least
 * @param graceSeconds time between the request to stop and the end of the process
 * @param addresses what callers, runners and operators are served on, by kind
 * @param platformAddress where orders about hosts are taken
 * @param hostOrdersPerSecond how many of them are taken from all members together
 */
public record BatchSettings(String cluster, String process, String host, String dataCentre, boolean firstStart,
		Optional<String> dataFolder, List<Integer> internalPorts, List<String> seeds, int toleratedMembers,
		int longestLeaseMillis, int handOverPauseMillis, double upkeepSeconds, double graceSeconds,
		AddressSettings addresses, Optional<String> platformAddress, double hostOrdersPerSecond) {

	/**
	 * Leaves a fifth of the longest lease as a margin for clocks that run at other rates.
	 */
	private static final double LEASE_SHARE = 0.8;

	/** A longer lease would keep the tasks of a lost runner waiting for no gain. */
	private static final int MAXIMUM_LEASE_MILLIS = 6_000;

	/** Within the 2 s that runners allow, and short enough to notice a silent one. */
	private static final int LONG_POLL_MILLIS = 1_000;

	/** Far above the time that a runner takes, below the patience of callers. */
	private static final int ANSWER_TIMEOUT_MILLIS = 700;

	/** Runners answer orders within some milliseconds. */
	private static final int UNANSWERED_ORDER_MILLIS = 300;

	private static final int ORDER_RETRY_MILLIS = 150;

	private static final int SILENT_RUNNER_MILLIS = 2_200;

	/** Longer than nearly all tasks that are not saved. */
	private static final int DRAIN_MILLIS = 3_000;

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final int HOST_RETURN_MILLIS = 5_000;

	private static final int HOST_RETRY_MILLIS = 400;

	/** A moved host takes about this time until its runner takes tasks. */
	private static final int POOL_MOVE_MILLIS = 1_700;

	/** Two moves cost about as much as a host does in this time. */
	private static final int IDLE_HOST_MILLIS = 1_500;

	private static final int MINIMUM_STAY_MILLIS = 2_500;

	private static final int HOST_LIST_INTERVAL_MILLIS = 1_500;

	private static final int FORGET_RUNNER_MILLIS = 60_000;

	/**
	 * Members miss several heartbeats before an election, so that a busy host keeps it.
	 */
	private static final ReplicaSettings REPLICA = new ReplicaSettings(100, 500, 1000, 4096, 8 * 1024 * 1024, 512,
			1024 * 1024, 64 * 1024, 1500);

	private static final int TICK_INTERVAL_MILLIS = 100;

	private static final int CHECK_INTERVAL_MILLIS = 250;

	private static final int RESPONSE_TIMEOUT_MILLIS = 600;

	/**
	 * Nearly all elections end within this time, which leaves callers time for a try at
	 * another host.
	 */
	private static final int LEADER_WAIT_MILLIS = 2_000;

	public BatchSettings {
		Checks.name("cluster", cluster);
		Checks.name("process", process);
		if (internalPorts.size() != 2 || internalPorts.get(1) < internalPorts.get(0) + 1) {
			throw new InvalidValueException("internalPorts must be the first and the last of at least two ports");
		}
		internalPorts = List.copyOf(internalPorts);
		seeds = List.copyOf(seeds);
		Checks.range("toleratedMembers", toleratedMembers, 0, 3);
		dataFolder = dataFolder.filter((folder) -> !folder.isEmpty());
		platformAddress = platformAddress.filter((address) -> !address.isEmpty());
	}

	/**
	 * Returns the data folder.
	 * @return the folder
	 * @throws InvalidValueException if there is none
	 */
	public Path toDataFolder() {
		return this.dataFolder.map(Path::of)
			.orElseThrow(() -> new InvalidValueException("a control member needs dataFolder"));
	}

	ConsensusSettings toConsensusSettings() {
		return new ConsensusSettings(this.cluster, this.host, this.internalPorts.get(0), seedHosts(),
				2 * this.toleratedMembers + 1, REPLICA,
				LinkSettings.DEFAULT.withDispatcher(BatchDispatchers.CONSENSUS));
	}

	CallSettings toCallSettings() {
		return new CallSettings(this.host, seedHosts(), this.internalPorts.get(0) + 1, TICK_INTERVAL_MILLIS,
				CHECK_INTERVAL_MILLIS, RESPONSE_TIMEOUT_MILLIS, LEADER_WAIT_MILLIS,
				LinkSettings.DEFAULT.withDispatcher(BatchDispatchers.CALLS));
	}

	LeaderSettings toLeaderSettings() {
		int leaseMillis = (int) Math.min(MAXIMUM_LEASE_MILLIS, LEASE_SHARE * this.longestLeaseMillis);
		return new LeaderSettings(
				new SessionSettings(leaseMillis, LONG_POLL_MILLIS, ANSWER_TIMEOUT_MILLIS, UNANSWERED_ORDER_MILLIS,
						ORDER_RETRY_MILLIS, SILENT_RUNNER_MILLIS),
				new WaveSettings(this.handOverPauseMillis, DRAIN_MILLIS, (int) (MILLIS_PER_SECOND * this.upkeepSeconds),
						HOST_RETURN_MILLIS, HOST_RETRY_MILLIS),
				new BalanceSettings(this.handOverPauseMillis, POOL_MOVE_MILLIS, IDLE_HOST_MILLIS, MINIMUM_STAY_MILLIS,
						HOST_RETRY_MILLIS, HOST_LIST_INTERVAL_MILLIS),
				FORGET_RUNNER_MILLIS, this.hostOrdersPerSecond);
	}

	/**
	 * Returns the hosts of the seeds.
	 * @return the numbers of the hosts
	 */
	public List<String> seedHosts() {
		return this.seeds.stream().map((seed) -> seed.substring(0, Math.max(0, seed.lastIndexOf(':')))).toList();
	}

	/**
	 * Addresses that a process serves, {@code ip:port}. Immutable.
	 *
	 * @param callers where callers are served
	 * @param readiness where the balancer asks for readiness
	 * @param control where runners and operators are served
	 */
	public record AddressSettings(Optional<String> callers, Optional<String> readiness, Optional<String> control) {

		public AddressSettings {
			callers = callers.filter((address) -> !address.isEmpty());
			readiness = readiness.filter((address) -> !address.isEmpty());
			control = control.filter((address) -> !address.isEmpty());
		}

	}

}
