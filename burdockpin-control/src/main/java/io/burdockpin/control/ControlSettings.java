package io.burdockpin.control;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.burdockpin.control.link.LinkSupervisorSettings;
import io.burdockpin.control.planner.PlannerSettings;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.MemberRole;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.ReplicaSettings;
import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.limit.TokenSettings;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.placement.LeaseSettings;
import io.burdockpin.core.placement.PlacementPreference;
import io.burdockpin.core.placement.PlacementSettings;
import io.burdockpin.core.util.Checks;
import io.burdockpin.runtime.tls.TlsSettings;

/**
 * Settings of the control program. Immutable.
 *
 * @param cluster name of the cluster; messages of other clusters are dropped
 * @param host the host of this member
 * @param dataCentre data centre of the host
 * @param dataFolder folder that contains identity, vote, log and snapshots
 * @param memberAddress listen address for other members, {@code ip:port}
 * @param clientAddress listen address for entry hosts, {@code ip:port}
 * @param adminAddress listen address for health and metrics, {@code ip:port}
 * @param members initial members of a new cluster; later changes are stored in the log
 * @param heartbeatMillis interval between heartbeats of the leader (default 100)
 * @param electionTimeoutMinimumMillis minimum time without a leader before an election
 * (default 500)
 * @param electionTimeoutMaximumMillis maximum time without a leader before an election
 * (default 1000)
 * @param snapshotEntries number of log entries after which a snapshot is taken (default
 * 4096)
 * @param hangingWriteMillis time after which a leader with a write still pending on its
 * own disk steps down (default 1500)
 * @param confirmationMillis maximum time that a reply waits for the entry hosts to
 * confirm a configuration change (default 2000)
 * @param tokenLeaseMillis lease duration of tokens (default 45000)
 * @param eventFileBytes size at which a new event file is started (default 16 MiB)
 * @param weightRollout relative weight of a short roll-out (default 1)
 * @param weightMoves relative weight of few job moves (default 1)
 * @param weightShare relative weight of a small distance to the teams' shares (default 1)
 * @param weightBuffer relative weight of little idle capacity (default 1)
 * @param jobLeaseMillis time for which a worker may run a job after the report that
 * renewed its lease (default 30000)
 * @param jobReservationMillis waiting time after which a host is reserved for a job that
 * is not urgent (default 60000)
 * @param tls certificate, key and trusted authorities of the links; if empty, links are
 * not encrypted
 */
public record ControlSettings(String cluster, String host, String dataCentre, String dataFolder, String memberAddress,
		String clientAddress, String adminAddress, List<MemberSettings> members, Optional<Integer> heartbeatMillis,
		Optional<Integer> electionTimeoutMinimumMillis, Optional<Integer> electionTimeoutMaximumMillis,
		Optional<Integer> snapshotEntries, Optional<Integer> hangingWriteMillis, Optional<Integer> confirmationMillis,
		Optional<Integer> tokenLeaseMillis, Optional<Long> eventFileBytes, Optional<Integer> weightRollout,
		Optional<Integer> weightMoves, Optional<Integer> weightShare, Optional<Integer> weightBuffer,
		Optional<Integer> jobLeaseMillis, Optional<Integer> jobReservationMillis, Optional<TlsSettings> tls) {

	/** Incarnation of the initial members of a new cluster. */
	public static final long FORMATTED_INCARNATION = 1;

	private static final int MAXIMUM_MEMBERS = 5;

	private static final int DEFAULT_CONFIRMATION_MILLIS = 2000;

	private static final int DEFAULT_WEIGHT = 1;

	private static final long DEFAULT_EVENT_FILE_BYTES = 16L * 1024 * 1024;

	private static final ReplicaSettings DEFAULTS = ReplicaSettings.DEFAULT;

	/**
	 * A leader renews leases for half of their margin of 20% after a majority has
	 * confirmed it, and plans twice in that time. With shorter leases that would be more
	 * often than twice a second.
	 */
	private static final int MINIMUM_JOB_LEASE_MILLIS = 10_000;

	private static final int MAXIMUM_JOB_LEASE_MILLIS = 3_600_000;

	private static final int MAXIMUM_JOB_RESERVATION_MILLIS = 86_400_000;

	public ControlSettings {
		Checks.name("cluster", cluster);
		Checks.name("host", host);
		Checks.name("data centre", dataCentre);
		if (dataFolder == null || dataFolder.isBlank()) {
			throw new InvalidValueException("dataFolder is missing");
		}
		LinkSupervisorSettings.socketAddress(memberAddress);
		LinkSupervisorSettings.socketAddress(clientAddress);
		LinkSupervisorSettings.socketAddress(adminAddress);
		members = (members != null) ? List.copyOf(members) : List.of();
		Checks.range("number of members", members.size(), 1, MAXIMUM_MEMBERS);
		checkDistinct(members);
		heartbeatMillis = withDefault(heartbeatMillis, DEFAULTS.heartbeatMillis());
		electionTimeoutMinimumMillis = withDefault(electionTimeoutMinimumMillis,
				DEFAULTS.electionTimeoutMinimumMillis());
		electionTimeoutMaximumMillis = withDefault(electionTimeoutMaximumMillis,
				DEFAULTS.electionTimeoutMaximumMillis());
		snapshotEntries = withDefault(snapshotEntries, DEFAULTS.snapshotEntries());
		hangingWriteMillis = withDefault(hangingWriteMillis, DEFAULTS.hangingWriteMillis());
		confirmationMillis = withDefault(confirmationMillis, DEFAULT_CONFIRMATION_MILLIS);
		tokenLeaseMillis = withDefault(tokenLeaseMillis, (int) TokenSettings.DEFAULT.leaseMillis());
		eventFileBytes = withDefault(eventFileBytes, DEFAULT_EVENT_FILE_BYTES);
		weightRollout = withDefault(weightRollout, DEFAULT_WEIGHT);
		weightMoves = withDefault(weightMoves, DEFAULT_WEIGHT);
		weightShare = withDefault(weightShare, DEFAULT_WEIGHT);
		weightBuffer = withDefault(weightBuffer, DEFAULT_WEIGHT);
		tls = (tls != null) ? tls : Optional.empty();
		new PlacementPreference(weightRollout.get(), weightMoves.get(), weightShare.get(), weightBuffer.get());
		jobLeaseMillis = withDefault(jobLeaseMillis, (int) LeaseSettings.DEFAULT.leaseMillis());
		Checks.range("jobLeaseMillis", jobLeaseMillis.get(), MINIMUM_JOB_LEASE_MILLIS, MAXIMUM_JOB_LEASE_MILLIS);
		jobReservationMillis = withDefault(jobReservationMillis,
				(int) PlacementSettings.DEFAULT.reservationWaitMillis());
		Checks.range("jobReservationMillis", jobReservationMillis.get(), 1_000, MAXIMUM_JOB_RESERVATION_MILLIS);
		Checks.range("heartbeatMillis", heartbeatMillis.get(), 10, 10_000);
		Checks.range("confirmationMillis", confirmationMillis.get(), 0, 10_000);
		Checks.range("tokenLeaseMillis", tokenLeaseMillis.get(), 1000, 600_000);
		Checks.range("eventFileBytes", eventFileBytes.get(), 4096, 1L << 40);
		replicaSettings(heartbeatMillis, electionTimeoutMinimumMillis, electionTimeoutMaximumMillis, snapshotEntries,
				hangingWriteMillis);
	}

	// access

	/**
	 * Returns the settings of the replicated log.
	 * @return validated settings with defaults applied
	 */
	public ReplicaSettings toReplicaSettings() {
		return replicaSettings(this.heartbeatMillis, this.electionTimeoutMinimumMillis,
				this.electionTimeoutMaximumMillis, this.snapshotEntries, this.hangingWriteMillis);
	}

	/**
	 * Returns the settings of the planners.
	 * @return the default settings with the configured leases and placement weights
	 */
	public PlannerSettings toPlannerSettings() {
		PlacementPreference preference = new PlacementPreference(this.weightRollout.get(), this.weightMoves.get(),
				this.weightShare.get(), this.weightBuffer.get());
		PlannerSettings defaults = PlannerSettings.DEFAULT.withPreference(preference)
			.withTokenLease(this.tokenLeaseMillis.get());
		LeaseSettings leases = new LeaseSettings(this.jobLeaseMillis.get(),
				LeaseSettings.DEFAULT.livenessTimeoutMillis());
		return defaults.withPlacement(
				defaults.placement().withLeases(leases).withReservationWait(this.jobReservationMillis.get()));
	}

	/**
	 * Returns the members of a new cluster.
	 * @return all members as voters with {@link #FORMATTED_INCARNATION}
	 */
	public Membership toMembership() {
		return toMembership(FORMATTED_INCARNATION);
	}

	/**
	 * Returns the members of a cluster that is restored from a backup, all as voters.
	 * @param incarnation the incarnation assigned to all members
	 */
	public Membership toMembership(long incarnation) {
		return new Membership(this.members.stream()
			.map((member) -> new Member(new MemberId(new HostName(member.host()), incarnation), MemberRole.VOTER,
					member.address()))
			.toList());
	}

	/**
	 * Returns the addresses to connect to for members that this process cannot reach at
	 * their advertised address.
	 * @return the overriding addresses by host
	 */
	public Map<HostName, String> toConnectAddresses() {
		return this.members.stream()
			.filter((member) -> member.connectAddress().isPresent())
			.collect(Collectors.toMap((member) -> new HostName(member.host()),
					(member) -> member.connectAddress().get()));
	}

	/**
	 * Returns the data folder.
	 * @return its path
	 */
	public Path toDataFolder() {
		return Path.of(this.dataFolder);
	}

	// helpers

	private static ReplicaSettings replicaSettings(Optional<Integer> heartbeatMillis, Optional<Integer> minimumMillis,
			Optional<Integer> maximumMillis, Optional<Integer> snapshotEntries, Optional<Integer> hangingWriteMillis) {
		return new ReplicaSettings(heartbeatMillis.get(), minimumMillis.get(), maximumMillis.get(),
				snapshotEntries.get(), DEFAULTS.snapshotBytes(),
				Math.min(DEFAULTS.retainedEntries(), snapshotEntries.get()), DEFAULTS.maximumAppendBytes(),
				DEFAULTS.snapshotChunkBytes(), hangingWriteMillis.get());
	}

	private static void checkDistinct(List<MemberSettings> members) {
		Set<String> hosts = new HashSet<>();
		for (MemberSettings member : members) {
			if (!hosts.add(member.host())) {
				throw new InvalidValueException("member %s is listed twice".formatted(member.host()));
			}
		}
	}

	// Jackson passes null for a missing property.
	private static <T> Optional<T> withDefault(Optional<T> value, T defaultValue) {
		return Optional.of((value != null) ? value.orElse(defaultValue) : defaultValue);
	}

	/**
	 * An initial member of a new cluster.
	 *
	 * @param host host of the member
	 * @param address listen address for other members, {@code ip:port}
	 * @param connectAddress address to connect to instead of {@code address}, for example
	 * behind address translation
	 */
	public record MemberSettings(String host, String address, Optional<String> connectAddress) {

		public MemberSettings {
			Checks.name("member host", host);
			LinkSupervisorSettings.socketAddress(address);
			connectAddress = (connectAddress != null) ? connectAddress : Optional.empty();
			connectAddress.ifPresent(LinkSupervisorSettings::socketAddress);
		}

	}

}
