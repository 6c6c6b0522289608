package io.burdockpin.benchmark.change;

import java.net.http.HttpClient;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.IntStream;

import io.burdockpin.control.ControlProgram;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.state.Command;
import io.burdockpin.entry.EntryProgram;
import io.burdockpin.operator.client.HttpEntryCaller;
import io.burdockpin.operator.client.OperatorClient;

/**
 * Three control members and seven entry hosts on loopback addresses, each in a process of
 * its own. Shared by the operators of a measurement.
 */
final class RealFleet implements AutoCloseable {

	static final int MEMBERS = 3;

	static final int ENTRIES = 7;

	private static final int MEMBER_PORT = 21_001;

	private static final int CLIENT_PORT = 21_002;

	private static final int ADMIN_PORT = 21_003;

	private static final int HTTP_PORT = 21_004;

	private static final int PEER_PORT = 21_005;

	private final Path folder;

	private final String network = "127.77.%d.".formatted(1 + ProcessHandle.current().pid() % 250);

	private final List<RealProcess> members = new ArrayList<>();

	private final List<RealProcess> entries = new ArrayList<>();

	private final HttpEntryCaller caller = new HttpEntryCaller(
			HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build(), Duration.ofSeconds(10));

	RealFleet(Path folder) {
		this.folder = folder;
	}

	void start() {
		IntStream.rangeClosed(1, MEMBERS).forEach((number) -> {
			try (RealProcess format = startMember(number, "--format")) {
				format.awaitEnd();
			}
		});
		IntStream.rangeClosed(1, MEMBERS).forEach((number) -> this.members.add(startMember(number)));
		IntStream.rangeClosed(1, ENTRIES).forEach((number) -> this.entries.add(startEntry(number)));
		this.members.forEach((member) -> member.awaitNumber("commitIndex", 1));
		this.entries.forEach((entry) -> entry.awaitNumber("configurationIndex", 0));
	}

	/**
	 * Carries out a change and waits for the reply.
	 * @param requestId its identifier
	 * @param entry the number of the entry host, from 0
	 * @param command the change
	 */
	void change(String requestId, int entry, Command command) {
		new OperatorClient(List.of(entryAddress(1 + entry % ENTRIES)), this.caller, new RequestId(requestId),
				OptionalLong.empty())
			.change(command);
	}

	/**
	 * Waits until all entry hosts have a configuration.
	 * @param index its index
	 */
	void awaitInForce(long index) {
		this.entries.forEach((entry) -> entry.awaitNumber("configurationIndex", index));
	}

	String network() {
		return this.network;
	}

	Path memberData(int number) {
		return this.folder.resolve("data-c" + (number + 1));
	}

	/**
	 * Returns the processes.
	 * @return their numbers by host name, members first
	 */
	Map<String, Long> processIds() {
		Map<String, Long> result = new LinkedHashMap<>();
		IntStream.rangeClosed(1, MEMBERS)
			.forEach((number) -> result.put("c" + number, this.members.get(number - 1).processId()));
		IntStream.rangeClosed(1, ENTRIES)
			.forEach((number) -> result.put("e" + number, this.entries.get(number - 1).processId()));
		return result;
	}

	List<Path> entryEvents() {
		return IntStream.rangeClosed(1, ENTRIES)
			.mapToObj((number) -> this.folder.resolve("events-e" + number))
			.toList();
	}

	@Override
	public void close() {
		this.entries.forEach(RealProcess::close);
		this.members.forEach(RealProcess::close);
	}

	// helpers

	private RealProcess startMember(int number, String... arguments) {
		String ip = this.network + number;
		Map<String, Object> settings = new HashMap<>();
		settings.put("cluster", "benchmark");
		settings.put("host", "c" + number);
		settings.put("dataCentre", "dc" + number);
		settings.put("dataFolder", memberData(number - 1).toString());
		settings.put("memberAddress", ip + ":" + MEMBER_PORT);
		settings.put("clientAddress", ip + ":" + CLIENT_PORT);
		settings.put("adminAddress", ip + ":" + ADMIN_PORT);
		settings.put("snapshotEntries", 1_000_000);
		settings.put("members", IntStream.rangeClosed(1, MEMBERS)
			.mapToObj((member) -> Map.of("host", "c" + member, "address", this.network + member + ":" + MEMBER_PORT))
			.toList());
		return new RealProcess("c" + number, ControlProgram.class, this.folder, settings, ip + ":" + ADMIN_PORT,
				arguments);
	}

	private RealProcess startEntry(int number) {
		Map<String, Object> settings = new HashMap<>();
		settings.put("name", "e" + number);
		settings.put("dataCentre", dataCentre(number));
		settings.put("httpAddress", address(10 + number, HTTP_PORT));
		settings.put("peerAddress", address(10 + number, PEER_PORT));
		settings.put("peers",
				IntStream.rangeClosed(1, ENTRIES)
					.filter((peer) -> peer != number)
					.mapToObj((peer) -> Map.of("name", "e" + peer, "dataCentre", dataCentre(peer), "httpAddress",
							address(10 + peer, HTTP_PORT), "peerAddress", address(10 + peer, PEER_PORT)))
					.toList());
		settings.put("members",
				IntStream.range(0, MEMBERS)
					.map((offset) -> 1 + (number - 1 + offset) % MEMBERS)
					.mapToObj((member) -> Map.of("name", "c" + member, "clientAddress", address(member, CLIENT_PORT)))
					.toList());
		settings.put("eventFile", this.folder.resolve("events-e" + number).toString());
		return new RealProcess("e" + number, EntryProgram.class, this.folder, settings, entryAddress(number));
	}

	private String entryAddress(int number) {
		return this.network + (10 + number) + ":" + HTTP_PORT;
	}

	private Map<String, Object> address(int host, int port) {
		return Map.of("ip", this.network + host, "port", port);
	}

	private static String dataCentre(int number) {
		return "dc" + (1 + (number - 1) % MEMBERS);
	}

}
