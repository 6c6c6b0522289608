package io.burdockpin.core.batch.lead.explore;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.burdockpin.core.batch.lead.host.HostEntry;
import io.burdockpin.core.batch.lead.host.HostOrder;
import io.burdockpin.core.batch.lead.host.HostReply;
import io.burdockpin.core.batch.model.RunnerKey;

/**
 * The hosts and the runners on them. Moves and maintenance end the runner of a host; a
 * new one with another identifier starts afterwards, unless the pool is spare.
 */
final class ModelPlatform {

	static final String SPARE_POOL = "spare";

	static final int MAINTENANCE_MILLIS = 1_000;

	private static final int MOVE_MILLIS = 1_700;

	private static final double MINIMUM_CLOCK_RATE = 0.98;

	private static final double CLOCK_RATE_RANGE = 0.04;

	private final VirtualTime time;

	private final RandomGenerator random;

	private final ModelRunner.Observer observer;

	private final Map<String, Host> hosts = new LinkedHashMap<>();

	private final Map<Long, WaveOrder> waves = new LinkedHashMap<>();

	private final Checks checks;

	private int lastRunner;

	ModelPlatform(VirtualTime time, RandomGenerator random, ModelRunner.Observer observer, Checks checks) {
		this.time = time;
		this.random = random;
		this.observer = observer;
		this.checks = checks;
	}

	void addHost(String name, String pool) {
		Host host = new Host(name, pool);
		this.hosts.put(name, host);
		startRunner(host, nextIdentifier());
	}

	void addWave(long number, List<String> members, int maximumDown) {
		this.waves.put(number, new WaveOrder(Set.copyOf(members), maximumDown));
	}

	List<String> hostNames() {
		return List.copyOf(this.hosts.keySet());
	}

	/** Returns the runners that are up. */
	Collection<ModelRunner> runners() {
		return this.hosts.values().stream().flatMap((host) -> host.runner.stream()).toList();
	}

	Optional<ModelRunner> runnerOn(String host) {
		return Optional.ofNullable(this.hosts.get(host)).flatMap((known) -> known.runner);
	}

	Optional<ModelRunner> runner(String id) {
		return runners().stream().filter((runner) -> runner.key().id().equals(id)).findFirst();
	}

	List<HostEntry> hostList() {
		return this.hosts.values()
			.stream()
			.map((host) -> new HostEntry(host.name, host.pool, host.phase == Phase.UP))
			.toList();
	}

	/** Returns whether a host has begun its maintenance in a wave. */
	boolean wasMaintained(String host, long wave) {
		return this.hosts.get(host).maintainedIn.contains(wave);
	}

	// crashes

	/** Crashes the runner of a host and starts another one there. */
	void crash(String name, Identity identity, long forMillis) {
		Host host = this.hosts.get(name);
		host.runner.ifPresent((runner) -> {
			stopRunner(host, Phase.DOWN);
			long change = host.change;
			this.time.after(forMillis, () -> {
				if (host.change == change) {
					startRunner(host, identity.of(runner.key().id(), this));
				}
			});
		});
	}

	/** Crashes the runners of two hosts, which start again under each other's names. */
	void swap(String first, String second, long forMillis) {
		Optional<ModelRunner> one = runnerOn(first);
		Optional<ModelRunner> other = runnerOn(second);
		if (!first.equals(second) && one.isPresent() && other.isPresent()) {
			crash(first, (id, platform) -> other.get().key().id(), forMillis);
			crash(second, (id, platform) -> one.get().key().id(), forMillis + this.random.nextInt(200));
		}
	}

	private String nextIdentifier() {
		this.lastRunner++;
		return "r" + this.lastRunner;
	}

	private void startRunner(Host host, String id) {
		host.change++;
		host.phase = Phase.UP;
		if (!host.pool.equals(SPARE_POOL)) {
			double clockRate = MINIMUM_CLOCK_RATE + CLOCK_RATE_RANGE * this.random.nextDouble();
			host.runner = Optional.of(new ModelRunner(new RunnerKey(id, this.time.nowMillis()), host.name, host.pool,
					clockRate, this.observer));
		}
	}

	private void stopRunner(Host host, Phase phase) {
		host.change++;
		host.phase = phase;
		host.runner.ifPresent(ModelRunner::crash);
		host.runner = Optional.empty();
	}

	// orders

	HostReply carryOut(HostOrder order) {
		Host host = this.hosts.get(order.host());
		if (host == null) {
			return HostReply.UNKNOWN_HOST;
		}
		if (order.fencingToken() < host.highestFencingToken) {
			return HostReply.FENCED;
		}
		host.highestFencingToken = order.fencingToken();
		if (order instanceof HostOrder.Maintenance maintenance) {
			return maintain(host, maintenance.wave());
		}
		return move(host, ((HostOrder.Move) order).pool());
	}

	private HostReply maintain(Host host, long wave) {
		WaveOrder order = this.waves.get(wave);
		if (order == null || !order.members().contains(host.name)) {
			return HostReply.UNKNOWN_HOST;
		}
		if (host.maintainedIn.contains(wave)) {
			return HostReply.DONE;
		}
		if (!host.isAvailable()) {
			return HostReply.HOST_NOT_UP;
		}
		host.maintainedIn.add(wave);
		host.lastWave = wave;
		stopRunner(host, Phase.MAINTENANCE);
		long down = this.hosts.values()
			.stream()
			.filter((other) -> other.phase == Phase.MAINTENANCE && other.lastWave == wave)
			.count();
		if (down > order.maximumDown()) {
			this.checks
				.violation("%d hosts of wave %d are down, allowed are %d".formatted(down, wave, order.maximumDown()));
		}
		startAfter(host, MAINTENANCE_MILLIS);
		return HostReply.DONE;
	}

	private HostReply move(Host host, String pool) {
		if (host.pool.equals(pool)) {
			return HostReply.DONE;
		}
		if (!host.isAvailable()) {
			return HostReply.HOST_NOT_UP;
		}
		host.runner.filter((runner) -> !runner.running().isEmpty())
			.ifPresent((runner) -> this.checks
				.violation("the move of %s to %s ends %d runs".formatted(host.name, pool, runner.running().size())));
		stopRunner(host, Phase.MOVING);
		host.pool = pool;
		startAfter(host, MOVE_MILLIS);
		return HostReply.DONE;
	}

	private void startAfter(Host host, long millis) {
		long change = host.change;
		this.time.after(millis, () -> {
			if (host.change == change) {
				startRunner(host, nextIdentifier());
			}
		});
	}

	/** Chooses the identifier of a runner that starts on a host. */
	interface Identity {

		Identity SAME = (id, platform) -> id;

		Identity OTHER = (id, platform) -> platform.nextIdentifier();

		String of(String earlierIdentifier, ModelPlatform platform);

	}

	/** What a host does. */
	private enum Phase {

		UP, MOVING, MAINTENANCE, DOWN

	}

	private record WaveOrder(Set<String> members, int maximumDown) {

	}

	private static final class Host {

		private final String name;

		private final Set<Long> maintainedIn = new HashSet<>();

		private String pool;

		private Phase phase = Phase.UP;

		private Optional<ModelRunner> runner = Optional.empty();

		private long highestFencingToken;

		private long lastWave;

		/** Counts starts and stops, so that a start that is out of date is left out. */
		private long change;

		private Host(String name, String pool) {
			this.name = name;
			this.pool = pool;
		}

		private boolean isAvailable() {
			return this.phase == Phase.UP && this.runner.filter(ModelRunner::isDraining).isEmpty();
		}

	}

}
