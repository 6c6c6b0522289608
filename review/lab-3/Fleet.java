import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback addresses: processes of the deploy file, started with its commands, and
 * started again when they end, as the platform does.
 */
final class Fleet implements AutoCloseable {

	/** Delay before a process that has ended is started again. */
	private static final long RESTART_MILLIS = 500;

	static final int CONTROL_PORT = 8345;

	static final int FRONT_PORT = 8340;

	static final int READINESS_PORT = 8343;

	static final int RUNNER_PORT = 8080;

	private static final int FIRST_INTERNAL_PORT = 7000;

	final List<Machine> cores = new ArrayList<>();

	final List<Machine> entries = new ArrayList<>();

	final Record record;

	private final Path root;

	private final Path folder;

	private final String network;

	private final Map<String, String> runLines;

	private volatile boolean closing;

	private volatile boolean keepsFiles;

	Fleet(Path root, Record record, int coreCount, int entryCount) throws IOException {
		this.root = root;
		this.record = record;
		this.folder = Files.createTempDirectory("burdockpin-review-");
		this.runLines = runLines(root.resolve("deploy/system.toml"));
		this.network = freeNetwork();
		for (int number = 1; number <= coreCount; number++) {
			this.cores.add(new Machine("core-" + number, "control", address(10 + number), "zone-" + number));
		}
		for (int number = 1; number <= entryCount; number++) {
			this.entries.add(new Machine("frontend-" + number, "entry", address(50 + number), "zone-" + number));
		}
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	String address(int host) {
		return this.network + "." + host;
	}

	void start() throws IOException {
		for (Machine machine : this.cores) {
			machine.start(true);
		}
		for (Machine machine : this.entries) {
			machine.start(true);
		}
	}

	List<String> controlAddresses() {
		return this.cores.stream().map((machine) -> machine.ip + ":" + CONTROL_PORT).toList();
	}

	/** Keeps the logs of a case that could not run. */
	void keepFiles() {
		this.keepsFiles = true;
		this.record.line("the logs are kept in %s", this.folder);
	}

	/** Ends all processes of the deployment and removes their files. */
	@Override
	public synchronized void close() {
		if (this.closing) {
			return;
		}
		this.closing = true;
		Stream.concat(this.cores.stream(), this.entries.stream()).forEach(Machine::kill);
		if (this.keepsFiles) {
			return;
		}
		try (Stream<Path> files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			System.err.println("cannot remove " + this.folder + ": " + ex);
		}
	}

	/** Sends a request on a connection of its own; a status of 0 means that no answer came. */
	static Reply call(String address, String method, String path, Map<String, String> headers, String body,
			int timeoutMillis) {
		int colon = address.lastIndexOf(':');
		long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		try (Socket socket = new Socket()) {
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress(address.substring(0, colon),
					Integer.parseInt(address.substring(colon + 1))), timeoutMillis);
			byte[] content = (body == null) ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
			StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
			if (!headers.containsKey("Host")) {
				head.append("Host: ").append(address).append("\r\n");
			}
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			if (body != null) {
				head.append("Content-Type: application/json\r\nContent-Length: ").append(content.length).append("\r\n");
			}
			head.append("Connection: close\r\n\r\n");
			ByteArrayOutputStream request = new ByteArrayOutputStream();
			request.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			request.write(content);
			socket.getOutputStream().write(request.toByteArray());
			ByteArrayOutputStream received = new ByteArrayOutputStream();
			byte[] buffer = new byte[8_192];
			InputStream input = socket.getInputStream();
			while (true) {
				long left = TimeUnit.NANOSECONDS.toMillis(deadline - System.nanoTime());
				if (left <= 0) {
					return new Reply(0, "no answer in time");
				}
				socket.setSoTimeout((int) left);
				int count = input.read(buffer);
				if (count < 0) {
					break;
				}
				received.write(buffer, 0, count);
			}
			return parse(received.toString(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			return new Reply(0, ex.toString());
		}
	}

	private static Reply parse(String text) {
		int end = text.indexOf("\r\n\r\n");
		if (end < 0 || !text.startsWith("HTTP/1.1 ")) {
			return new Reply(0, "connection ended without a complete answer");
		}
		return new Reply(Integer.parseInt(text.substring(9, 12)), text.substring(end + 4));
	}

	private static Map<String, String> runLines(Path file) throws IOException {
		Map<String, String> lines = new LinkedHashMap<>();
		String role = "";
		for (String line : Files.readAllLines(file)) {
			if (line.startsWith("[roles.")) {
				role = line.substring("[roles.".length(), line.indexOf(']'));
			}
			else if (line.startsWith("run = ")) {
				lines.put(role, line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')));
			}
		}
		return lines;
	}

	private static String freeNetwork() throws IOException {
		Random random = new Random();
		for (int attempt = 0; attempt < 100; attempt++) {
			String network = "127.%d.%d".formatted(20 + random.nextInt(200), 1 + random.nextInt(250));
			if (isFree(network + ".11", CONTROL_PORT) && isFree(network + ".11", FIRST_INTERNAL_PORT)
					&& isFree(network + ".51", FRONT_PORT) && isFree(network + ".101", RUNNER_PORT)) {
				return network;
			}
		}
		throw new IOException("no free loopback network");
	}

	private static boolean isFree(String ip, int port) {
		try {
			new ServerSocket(port, 1, InetAddress.getByName(ip)).close();
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/** An answer. */
	record Reply(int status, String body) {

		boolean isSuccess() {
			return this.status / 100 == 2;
		}

		@Override
		public String toString() {
			return this.status + " " + ((this.body.length() > 200) ? this.body.substring(0, 200) : this.body);
		}

	}

	/** Writes what was sent, answered and run. */
	static final class Record implements AutoCloseable {

		private final java.io.PrintWriter writer;

		private final long startNanos = System.nanoTime();

		Record(Path file) throws IOException {
			this.writer = new java.io.PrintWriter(Files.newBufferedWriter(file), true);
		}

		synchronized void line(String format, Object... arguments) {
			String text = "%8.3f %s".formatted((System.nanoTime() - this.startNanos) / 1e9,
					format.formatted(arguments));
			this.writer.println(text);
			System.out.println(text);
		}

		@Override
		public void close() {
			this.writer.close();
		}

	}

	/** A machine with one process. */
	final class Machine {

		final String name;

		final String ip;

		private final String role;

		private final String zone;

		private Process process;

		/** How often the process has ended although nobody killed it. */
		volatile int ownEnds;

		private volatile boolean killed;

		/** Whether the process was asked to stop; the platform starts it again. */
		private volatile boolean terminated;

		Machine(String name, String role, String ip, String zone) {
			this.name = name;
			this.role = role;
			this.ip = ip;
			this.zone = zone;
		}

		String front() {
			return this.ip + ":" + FRONT_PORT;
		}

		String readiness() {
			return this.ip + ":" + READINESS_PORT;
		}

		synchronized void start(boolean initial) throws IOException {
			Path settings = Fleet.this.folder.resolve(this.name + ".json");
			Files.writeString(settings, settings(initial, false));
			List<String> command = new ArrayList<>();
			for (String word : Fleet.this.runLines.get(this.role).split(" ")) {
				command.add(word.equals("/etc/burdockpin/settings.toml") ? settings.toString() : word);
			}
			ProcessBuilder builder = new ProcessBuilder(command).directory(Fleet.this.root.toFile())
				.redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect
					.appendTo(Fleet.this.folder.resolve(this.name + ".log").toFile()));
			Map<String, String> environment = builder.environment();
			environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
			environment.put("BURDOCKPIN_NODE_FILE", settings.toString());
			this.process = builder.start();
			this.killed = false;
			Process started = this.process;
			Thread watcher = new Thread(() -> watch(started), "watch-" + this.name);
			watcher.setDaemon(true);
			watcher.start();
		}

		private void watch(Process started) {
			try {
				int status = started.waitFor();
				if (this.killed || Fleet.this.closing) {
					return;
				}
				if (this.terminated) {
					this.terminated = false;
					Fleet.this.record.line("%s has stopped with status %d", this.name, status);
				}
				else {
					this.ownEnds++;
					Fleet.this.record.line("%s ended by itself with status %d (%d times so far): %s", this.name, status,
							this.ownEnds, lastError());
				}
				Thread.sleep(RESTART_MILLIS);
				if (!this.killed && !Fleet.this.closing) {
					start(false);
				}
			}
			catch (InterruptedException | IOException ex) {
				Fleet.this.record.line("%s is not watched any more: %s", this.name, ex);
			}
		}

		private String lastError() throws IOException {
			List<String> lines = Files.readAllLines(Fleet.this.folder.resolve(this.name + ".log"),
					StandardCharsets.ISO_8859_1);
			return lines.stream()
				.filter((line) -> line.contains("OutOfMemoryError") || line.contains("SEVERE"))
				.reduce((first, second) -> second)
				.orElse("no error in its log");
		}

		synchronized void kill() {
			this.killed = true;
			if (this.process != null) {
				this.process.destroyForcibly();
				try {
					this.process.waitFor(5, TimeUnit.SECONDS);
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
			}
		}

		/** Asks the process to stop, as in a rolling restart. */
		void terminate() throws IOException, InterruptedException {
			this.terminated = true;
			signal("TERM");
		}

		/** Sends a signal to the process. */
		void signal(String signal) throws IOException, InterruptedException {
			Fleet.this.record.line("SIG%s to %s", signal, this.name);
			new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start().waitFor();
		}

		/** Writes the settings file anew, with the seeds in another order. */
		void changeSettings() throws IOException {
			Files.writeString(Fleet.this.folder.resolve(this.name + ".json"), settings(false, true));
		}

		/** Tells whether the process has inherited that SIGHUP is ignored. */
		boolean ignoresHangUp() throws IOException {
			return Files.readAllLines(Path.of("/proc/" + this.process.pid() + "/status"))
				.stream()
				.filter((line) -> line.startsWith("SigIgn:"))
				.anyMatch((line) -> (Long.parseUnsignedLong(line.substring(7).trim(), 16) & 1) != 0);
		}

		/** Waits until the platform has started the process again. */
		void awaitRestart(long timeoutMillis) throws InterruptedException {
			long until = System.nanoTime() + timeoutMillis * 1_000_000;
			while (System.nanoTime() < until && (this.terminated || !this.process.isAlive())) {
				Thread.sleep(5);
			}
		}

		boolean isReady() {
			return call(readiness(), "GET", "/api/readiness", Map.of(), null, 400).isSuccess();
		}

		/** Waits until the process is ready for clients. */
		boolean awaitReady(long timeoutMillis) throws InterruptedException {
			long until = System.nanoTime() + timeoutMillis * 1_000_000;
			while (System.nanoTime() < until) {
				if (isReady()) {
					return true;
				}
				Thread.sleep(50);
			}
			return false;
		}

		private String settings(boolean initial, boolean reversed) {
			boolean isCore = this.role.equals("control");
			List<String> seeds = new ArrayList<>(Fleet.this.cores.stream()
				.map((core) -> "\"" + core.ip + ":" + CONTROL_PORT + "\"")
				.toList());
			if (reversed) {
				Collections.reverse(seeds);
			}
			StringBuilder zones = new StringBuilder();
			for (Machine core : Fleet.this.cores) {
				zones.append(zones.isEmpty() ? "" : ",").append("\"" + core.zone + "\":\"region\"");
			}
			return String.format(Locale.ROOT, """
					{"cluster":"burdockpin","process":"%s","host":"%s","dataCentre":"%s","firstStart":%s,
					"dataFolder":"%s","internalPorts":[%d,%d],"seeds":[%s],"toleratedMembers":1,
					"longestLeaseMillis":10000,"handOverPauseMillis":3000,"upkeepSeconds":2,"graceSeconds":6,
					"addresses":{"callers":"%s","readiness":"%s","control":"%s"},
					"platformAddress":"%s","hostOrdersPerSecond":64.0,"dataCentres":{%s},"remoteFactor":1.5}
					""", this.name, this.ip, this.zone, initial,
					isCore ? Fleet.this.folder.resolve(this.name + "-data") : "", FIRST_INTERNAL_PORT,
					FIRST_INTERNAL_PORT + 15, String.join(",", seeds), isCore ? "" : front(),
					isCore ? "" : readiness(), isCore ? this.ip + ":" + CONTROL_PORT : "", "", zones);
		}

	}

}
