package io.burdockpin.systemtest.batch;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.burdockpin.systemtest.batch.StandInRunner.RunnerPlan;

/**
 * Control members, entry hosts and stand-in runners on loopback addresses of their own.
 * Processes and runners are used by one thread.
 */
final class BatchDeployment implements AutoCloseable {

	static final int CALLER_PORT = 8340;

	static final int READINESS_PORT = 8343;

	static final int CONTROL_PORT = 8345;

	private static final int PLATFORM_PORT = 8344;

	private static final int INTERNAL_PORT = 7000;

	private static final int MEMBERS = 3;

	private static final int ENTRY_HOSTS = 2;

	private static final int RUNNERS = 7;

	private static final int FIRST_NETWORK = 20;

	private static final int LAST_NETWORK = 219;

	private static final int NETWORK_PARTS = 250;

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private final ScheduledExecutorService platformThread = Executors.newSingleThreadScheduledExecutor();

	private final String network = freeNetwork();

	private final List<BatchProcess> members;

	private final List<BatchProcess> entryHosts;

	private final List<RunnerSlot> runners = new ArrayList<>();

	private final JsonServer platform;

	private final Thread endOfTests = new Thread(this::killProcesses);

	BatchDeployment(Path programs, Path folder) throws IOException {
		this(programs, folder, Map.of());
	}

	/**
	 * Creates a deployment that is not started.
	 * @param programs the repository with the built programs
	 * @param folder for settings, logs and data
	 * @param heapMegabytes largest heap by role, where it differs from the deployed one
	 * @throws IOException if a folder cannot be created
	 */
	BatchDeployment(Path programs, Path folder, Map<String, Integer> heapMegabytes) throws IOException {
		List<String> memberHosts = IntStream.rangeClosed(1, MEMBERS).mapToObj((i) -> this.network + i).toList();
		this.members = new ArrayList<>();
		for (String host : memberHosts) {
			String name = "core-" + host.substring(this.network.length());
			Path data = Files.createDirectories(folder.resolve(name + "-data"));
			this.members.add(new BatchProcess(
					programs, folder, "control", name, settings(name, host, Map.of("dataDirectory", data.toString(),
							"listenAddresses.control", host + ":" + CONTROL_PORT)),
					Optional.ofNullable(heapMegabytes.get("control"))));
		}
		this.entryHosts = entryAddresses().map((host) -> {
			String name = "frontend-" + host.substring(this.network.length());
			return new BatchProcess(programs, folder, "entry", name,
					settings(name, host, Map.of("listenAddresses.front", host + ":" + CALLER_PORT,
							"listenAddresses.readiness", host + ":" + READINESS_PORT)),
					Optional.ofNullable(heapMegabytes.get("entry")));
		}).toList();
		for (int i = 1; i <= RUNNERS; i++) {
			this.runners.add(new RunnerSlot(new RunnerPlan("i-" + i, "m-" + i, this.network + (20 + i),
					memberHosts.stream().map((host) -> host + ":" + CONTROL_PORT).toList()), this.client));
		}
		this.platform = new JsonServer(new InetSocketAddress(this.network + 40, PLATFORM_PORT), this.platformThread,
				(exchange, body) -> {
					boolean lists = exchange.getRequestMethod().equals("GET");
					JsonServer.answer(exchange, lists ? 200 : 400, lists
							? Map.of("machines", this.runners.stream().map(RunnerSlot::machine).toList()) : Map.of());
				});
		Runtime.getRuntime().addShutdownHook(this.endOfTests);
	}

	// life cycle

	void startProcesses() {
		processes().forEach(BatchProcess::ensureRunning);
	}

	void start() {
		startProcesses();
		this.runners.forEach(RunnerSlot::start);
	}

	@Override
	public void close() {
		killProcesses();
		Runtime.getRuntime().removeShutdownHook(this.endOfTests);
		this.platform.close();
		this.platformThread.shutdownNow();
	}

	private void killProcesses() {
		processes().forEach(BatchProcess::kill);
	}

	// access

	HttpClient client() {
		return this.client;
	}

	List<BatchProcess> members() {
		return this.members;
	}

	List<BatchProcess> entryHosts() {
		return this.entryHosts;
	}

	List<RunnerSlot> runners() {
		return this.runners;
	}

	Stream<BatchProcess> processes() {
		return Stream.concat(this.members.stream(), this.entryHosts.stream());
	}

	Stream<String> entryAddresses() {
		return IntStream.rangeClosed(1, ENTRY_HOSTS).mapToObj((i) -> this.network + (10 + i));
	}

	String memberAddress(int member) {
		return this.network + (1 + member % MEMBERS);
	}

	// helpers

	private Map<String, String> settings(String name, String host, Map<String, String> ofRole) {
		Map<String, String> values = new HashMap<>(
				Map.of("nodeName", name, "ip", host, "zone", RunnerPlan.ZONE, "dataDirectory", "", "internalPortRange",
						INTERNAL_PORT + "," + (INTERNAL_PORT + 15), "faultTolerance.machines", "1", "cloudApi.address",
						this.network + "40:" + PLATFORM_PORT, "cloudApi.dutyPerS", "64.0"));
		values.put("seeds|json",
				IntStream.range(0, MEMBERS)
					.mapToObj((member) -> "\"" + memberAddress(member) + ":" + CONTROL_PORT + "\"")
					.toList()
					.toString());
		values.put("bounds.remoteFactor", "1.5");
		values.put("zones|json", "{\"%s\": \"region\"}".formatted(RunnerPlan.ZONE));
		values.putAll(Map.of("bounds.maxHoldMs", "10000", "bounds.leaseMs", "3000", "bounds.maintenanceS", "2",
				"bounds.graceS", "6", "listenAddresses.front", "", "listenAddresses.readiness", "",
				"listenAddresses.control", ""));
		values.putAll(ofRole);
		return values;
	}

	private static String freeNetwork() {
		long first = ProcessHandle.current().pid();
		return IntStream.rangeClosed(FIRST_NETWORK, LAST_NETWORK)
			.mapToObj((network) -> "127.%d.%d.".formatted(network, 1 + first % NETWORK_PARTS))
			.filter(BatchDeployment::isFree)
			.findFirst()
			.orElseThrow();
	}

	private static boolean isFree(String network) {
		try (ServerSocket control = new ServerSocket();
				ServerSocket callers = new ServerSocket();
				ServerSocket runner = new ServerSocket()) {
			control.bind(new InetSocketAddress(network + 1, CONTROL_PORT));
			callers.bind(new InetSocketAddress(network + 11, CALLER_PORT));
			runner.bind(new InetSocketAddress(network + 21, RunnerPlan.PORT));
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

}
