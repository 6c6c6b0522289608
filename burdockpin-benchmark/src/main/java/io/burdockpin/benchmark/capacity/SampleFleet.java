package io.burdockpin.benchmark.capacity;

import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.ClaimRecord;
import io.burdockpin.core.state.ClaimState;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.FleetSnapshot;
import io.burdockpin.core.state.HolderRecord;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.KeyRecord;
import io.burdockpin.core.state.PoolRecord;
import io.burdockpin.core.state.QueueRecord;
import io.burdockpin.core.state.TeamRecord;

/**
 * Builds replicated states of a wanted size with names and values of a usual length.
 * Stateless.
 */
final class SampleFleet {

	static final long NOW_MILLIS = 1_800_000_000_000L;

	static final int ENTRY_HOSTS = 7;

	private static final int DATA_CENTRES = 6;

	private static final int HOSTS_PER_RACK = 4;

	private static final int KEYS_PER_TEAM = 3;

	private static final int PAYLOAD_BYTES = 1024;

	private static final long INDEX = 100_000;

	private SampleFleet() {
	}

	/**
	 * Builds a state.
	 * @param size the numbers of its objects
	 * @return the state
	 */
	static FleetSnapshot create(FleetSize size) {
		return new FleetSnapshot(INDEX, NOW_MILLIS, configuration(size), holders(), List.of(), claims(size.claims()),
				jobs(size), List.of(), List.of());
	}

	static ConfigurationSnapshot configuration(FleetSize size) {
		List<PoolRecord> pools = numbers(size.pools())
			.mapToObj((number) -> new PoolRecord(pool(number), AvailabilityBudget.DEFAULT, false, INDEX))
			.toList();
		List<HostRecord> hosts = numbers(size.hosts()).mapToObj((number) -> host(number, size.pools())).toList();
		List<TeamRecord> teams = numbers(size.teams())
			.mapToObj((number) -> new TeamRecord(new TeamSpec(team(number), 10, 200, 0), INDEX))
			.toList();
		List<KeyRecord> keys = numbers(size.teams() * KEYS_PER_TEAM)
			.mapToObj((number) -> new KeyRecord(KeyHash.of("key-" + number), team(number % size.teams()), "laptop",
					false, INDEX))
			.toList();
		List<QueueRecord> queues = numbers(size.pools())
			.mapToObj((number) -> new QueueRecord(queue(number), false, INDEX))
			.toList();
		return new ConfigurationSnapshot(INDEX, pools, hosts, teams, keys, queues);
	}

	static TeamName team(int number) {
		return new TeamName("franchise-team-" + number);
	}

	static PoolName pool(int number) {
		return new PoolName("pool-" + number);
	}

	static QueueName queue(int number) {
		return new QueueName("queue-" + number);
	}

	static HostName worker(int number) {
		return new HostName("worker-" + number);
	}

	static DataCentre dataCentre(int number) {
		return new DataCentre("dc" + (number % DATA_CENTRES + 1));
	}

	static Holder holder(int number) {
		return new Holder(new HostName("entry-" + number), NOW_MILLIS);
	}

	private static List<HolderRecord> holders() {
		return numbers(ENTRY_HOSTS).mapToObj((number) -> new HolderRecord(holder(number), dataCentre(number), false))
			.toList();
	}

	private static HostRecord host(int number, int pools) {
		HostSpec spec = new HostSpec(worker(number), dataCentre(number / HOSTS_PER_RACK),
				new Rack("rack-" + number / HOSTS_PER_RACK), new Resources(64_000, 256 * 1024, 0));
		return new HostRecord(spec, pool(number % pools), HostState.IN_SERVICE, INDEX);
	}

	private static List<ClaimRecord> claims(int count) {
		return numbers(count)
			.mapToObj((number) -> new ClaimRecord(team(number % 100),
					new RequestId(NOW_MILLIS / 1000 + "-booking-" + number), holder(number % ENTRY_HOSTS),
					ClaimState.FINISHED, 200, "application/json", false, Payload.EMPTY))
			.toList();
	}

	private static List<JobRecord> jobs(FleetSize size) {
		return numbers(size.jobs()).mapToObj((number) -> job(number, size)).toList();
	}

	private static JobRecord job(int number, FleetSize size) {
		JobSpec spec = new JobSpec(team(number % size.teams()), pool(number % size.pools()),
				new Resources(2_000, 4 * 1024, 0), 600_000, false, true, Payload.of(new byte[PAYLOAD_BYTES]));
		return new JobRecord(new JobId("j-%016x".formatted(number)), spec, JobState.RUNNING,
				Optional.of(worker(number % size.hosts())), 1, false, NOW_MILLIS, NOW_MILLIS, 0, "", Payload.EMPTY,
				Payload.EMPTY);
	}

	private static IntStream numbers(int count) {
		return IntStream.range(0, count);
	}

}
