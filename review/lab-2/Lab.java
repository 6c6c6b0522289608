import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: three control hosts in three zones and some
 * entry hosts, run with the commands of deploy/system.toml and settings made from the
 * template of the repository. Ends all processes that it has started.
 */
final class Lab implements AutoCloseable {

	static final int MAX_HOLD_MILLIS = 10_000;

	static final int GRACE_SECONDS = 6;

	private final Path root = Path.of("").toAbsolutePath();

	private final Path temporary;

	private final PrintWriter record;

	private final long startedNanos = System.nanoTime();

	private final String network;

	final int port;

	final List<Node> controls = new ArrayList<>();

	final List<Node> entries = new ArrayList<>();

	final Platform platform;

	private volatile boolean closing;

	Lab(Path folder, int entryCount) throws IOException {
		this.record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
		this.temporary = Files.createTempDirectory("burdockpin-review-");
		Random random = new Random();
		this.network = "127." + (20 + random.nextInt(200)) + "." + (1 + random.nextInt(250)) + ".";
		this.port = freePort(random);
		this.platform = new Platform(this, address(200), this.port);
		for (int number = 0; number < 3; number++) {
			this.controls.add(new Node("control", "core-" + number, address(1 + number), "zone-" + number));
		}
		for (int number = 0; number < entryCount; number++) {
			this.entries.add(new Node("entry", "frontend-" + number, address(20 + number), "zone-" + number % 3));
		}
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	String address(int host) {
		return this.network + host;
	}

	long millis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedNanos);
	}

	synchronized void log(String text, Object... arguments) {
		this.record.printf("%7.3f %s%n", millis() / 1000.0, arguments.length == 0 ? text : text.formatted(arguments));
	}

	void start() throws IOException {
		this.platform.start();
		for (Node node : this.controls) {
			node.start(true);
		}
		for (Node node : this.entries) {
			node.start(true);
		}
	}

	/** Finds the control host that has logged last that it leads. */
	Node awaitLeader() throws Exception {
		long untilMillis = millis() + 10_000;
		while (millis() < untilMillis) {
			Node leader = null;
			int highestTerm = 0;
			for (Node node : this.controls) {
				Matcher matcher = Pattern.compile("Leads in term (\\d+)").matcher(node.logText());
				while (matcher.find()) {
					int term = Integer.parseInt(matcher.group(1));
					if (term > highestTerm) {
						highestTerm = term;
						leader = node;
					}
				}
			}
			if (leader != null) {
				return leader;
			}
			Thread.sleep(100);
		}
		return null;
	}

	/** Kills processes at the same moment. */
	void killAll(List<Node> nodes) throws Exception {
		nodes.forEach((node) -> node.down = true);
		nodes.forEach((node) -> node.process.destroyForcibly());
		log("SIGKILL for %s", nodes.stream().map((node) -> node.name).toList());
		for (Node node : nodes) {
			node.process.waitFor();
		}
	}

	@Override
	public synchronized void close() {
		endProcesses();
		this.platform.stop();
		if (!Files.exists(this.temporary)) {
			return;
		}
		try (Stream<Path> files = Files.walk(this.temporary)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			log("cannot remove %s: %s", this.temporary, ex);
		}
		this.record.flush();
	}

	private void endProcesses() {
		this.closing = true;
		Stream.concat(this.controls.stream(), this.entries.stream()).forEach(Node::end);
	}

	private int freePort(Random random) throws IOException {
		for (int attempt = 0; attempt < 50; attempt++) {
			int candidate = 20_000 + 20 * random.nextInt(500);
			try (ServerSocket first = new ServerSocket();
					ServerSocket second = new ServerSocket()) {
				first.bind(new InetSocketAddress(InetAddress.getByName(address(1)), candidate));
				second.bind(new InetSocketAddress(InetAddress.getByName(address(20)), candidate));
				return candidate;
			}
			catch (IOException ex) {
				// The port is in use; another one is tried.
			}
		}
		throw new IOException("no free port");
	}

	private static String runLine(Path root, String role) throws IOException {
		Matcher matcher = Pattern.compile("\\[roles\\." + role + "\\]\\s+run = \"([^\"]*)\"")
			.matcher(Files.readString(root.resolve("deploy/system.toml")));
		if (!matcher.find()) {
			throw new IOException("no role " + role);
		}
		return matcher.group(1);
	}

	/** A host with one process. The process is restarted when it ends. */
	final class Node {

		final String role;

		final String name;

		final String ip;

		final String zone;

		private Process process;

		private volatile boolean down;

		volatile int ownEnds;

		Node(String role, String name, String ip, String zone) {
			this.role = role;
			this.name = name;
			this.ip = ip;
			this.zone = zone;
		}

		String control() {
			return this.ip + ":" + (Lab.this.port + 4);
		}

		String front() {
			return this.ip + ":" + (Lab.this.port + 5);
		}

		synchronized void start(boolean first) throws IOException {
			Path settings = Lab.this.temporary.resolve(this.name + ".json");
			Files.writeString(settings, settings(first));
			List<String> words = new ArrayList<>(List.of(runLine(Lab.this.root, this.role).split(" ")));
			words.replaceAll((word) -> word.equals("/etc/burdockpin/settings.toml") ? settings.toString() : word);
			ProcessBuilder builder = new ProcessBuilder(words).directory(Lab.this.root.toFile());
			builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
			builder.environment().put("BURDOCKPIN_NODE_FILE", settings.toString());
			builder.redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(Lab.this.temporary.resolve(this.name + ".log").toFile()));
			this.down = false;
			this.process = builder.start();
			log("%s started, process %d", this.name, this.process.pid());
			Process started = this.process;
			started.onExit().thenAccept((ended) -> onExit(ended));
		}

		private void onExit(Process ended) {
			if (Lab.this.closing) {
				return;
			}
			log("%s ended with status %d", this.name, ended.exitValue());
			if (!this.down) {
				this.ownEnds++;
			}
			try {
				Thread.sleep(500);
				synchronized (this) {
					if (!this.down && !Lab.this.closing && ended == this.process) {
						start(false);
					}
				}
			}
			catch (IOException | InterruptedException ex) {
				log("%s cannot be restarted: %s", this.name, ex);
			}
		}

		/** Sends SIGTERM, SIGKILL after the grace period, and starts the process again. */
		void restartPlanned() throws Exception {
			Process old = this.process;
			this.down = true;
			log("%s gets SIGTERM", this.name);
			old.destroy();
			if (!old.waitFor(GRACE_SECONDS, TimeUnit.SECONDS)) {
				old.destroyForcibly().waitFor();
			}
			Thread.sleep(500);
			start(false);
		}

		String logText() throws IOException {
			Path log = Lab.this.temporary.resolve(this.name + ".log");
			return Files.exists(log) ? Files.readString(log) : "";
		}

		private void end() {
			if (this.process != null) {
				this.down = true;
				this.process.destroyForcibly();
			}
		}

		private String settings(boolean first) throws IOException {
			boolean isControl = this.role.equals("control");
			Map<String, String> values = new LinkedHashMap<>();
			values.put("nodeName", this.name);
			values.put("ip", this.ip);
			values.put("zone", this.zone);
			values.put("initialStart", Boolean.toString(first));
			values.put("dataDirectory", isControl ? Lab.this.temporary.resolve(this.name + "-data").toString() : "");
			values.put("internalPortRange", Lab.this.port + 10 + "," + (Lab.this.port + 15));
			values.put("seeds|json", Lab.this.controls.stream()
				.map((seed) -> '"' + seed.control() + '"')
				.toList()
				.toString());
			values.put("faultTolerance.machines", "1");
			values.put("bounds.maxHoldMs", Integer.toString(MAX_HOLD_MILLIS));
			values.put("bounds.leaseMs", "3000");
			values.put("bounds.maintenanceS", "2");
			values.put("bounds.graceS", Integer.toString(GRACE_SECONDS));
			values.put("listenAddresses.front", isControl ? "" : front());
			values.put("listenAddresses.readiness", isControl ? "" : this.ip + ":" + (Lab.this.port + 6));
			values.put("listenAddresses.control", isControl ? control() : "");
			values.put("cloudApi.address", Lab.this.platform.address());
			values.put("cloudApi.dutyPerS", "64.0");
			String text = Files.readString(Lab.this.root.resolve("platform/templates/settings.json"));
			for (Map.Entry<String, String> value : values.entrySet()) {
				text = text.replace("{{" + value.getKey() + "}}", value.getValue());
			}
			if (text.contains("{{")) {
				throw new IOException("the template has other fields: " + text);
			}
			return text;
		}

	}

}
