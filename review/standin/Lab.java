import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * A small deployment for the cases of the review: starts the control and entry processes
 * with the commands of deploy/system.toml on loopback addresses, and stands in for the
 * clients, the operator, the runners and the platform's host API. Times are the real
 * monotonic clock.
 */
final class Lab {

	static final ObjectMapper JSON = new ObjectMapper();

	/** Exit status of a broken rule; 1 is also that of a JVM that can't start. */
	static final int BROKEN = 11;

	static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

	final long startNanos = System.nanoTime();

	final Path repository = Path.of("").toAbsolutePath();

	final Path folder;

	final PrintWriter record;

	final String net;

	final List<Process> processes = new ArrayList<>();

	final List<String> cores = new ArrayList<>();

	final List<String> fronts = new ArrayList<>();

	final Map<String, Process> byHost = new LinkedHashMap<>();

	final Map<String, RunnerStandIn> runners = new TreeMap<>();

	final Random random = new Random(7);

	volatile boolean closed;

	int nextCore;

	int nextFront;

	Lab(String caseFolder) throws IOException {
		this.folder = Files.createTempDirectory("burdockpin-review-");
		this.record = new PrintWriter(Files.newBufferedWriter(Path.of(caseFolder, "record.txt")), true);
		this.net = freeNet();
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
		log("trouble %s, addresses %s*", TROUBLE, this.net);
	}

	private static String freeNet() throws IOException {
		for (int attempt = 0; attempt < 50; attempt++) {
			String candidate = "127." + (20 + new Random().nextInt(200)) + ".";
			try (ServerSocket one = bind(candidate + "1.1", 8345);
					ServerSocket two = bind(candidate + "2.1", 8340);
					ServerSocket three = bind(candidate + "3.1", 8080);
					ServerSocket four = bind(candidate + "4.1", 8344);
					ServerSocket five = bind(candidate + "1.1", 7000)) {
				return candidate;
			}
			catch (IOException ex) {
				// in use; try another
			}
		}
		throw new IOException("no free loopback addresses");
	}

	static ServerSocket bind(String host, int port) throws IOException {
		ServerSocket server = new ServerSocket();
		server.setReuseAddress(true);
		server.bind(new InetSocketAddress(host, port), 512);
		return server;
	}

	double now() {
		return (System.nanoTime() - this.startNanos) / 1e9;
	}

	synchronized void log(String format, Object... values) {
		this.record.printf("%8.3f %s%n", now(), String.format(format, values));
	}

	static void sleep(double seconds) {
		try {
			Thread.sleep((long) (seconds * 1000));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	// processes of the project

	void startSystem(int coreCount, int frontCount) throws IOException {
		for (int i = 1; i <= coreCount; i++) {
			this.cores.add(this.net + "1." + i);
		}
		for (int i = 1; i <= frontCount; i++) {
			this.fronts.add(this.net + "2." + i);
		}
		new HostApi(this.net + "4.1", 8344);
		for (String host : this.cores) {
			startProcess("control", "core-" + host.substring(host.lastIndexOf('.') + 1), host, true);
		}
		for (String host : this.fronts) {
			startProcess("entry", "frontend-" + host.substring(host.lastIndexOf('.') + 1), host, true);
		}
	}

	void startProcess(String role, String name, String host, boolean first) throws IOException {
		Map<String, String> values = new HashMap<>();
		boolean control = role.equals("control");
		values.put("nodeName", name);
		values.put("ip", host);
		values.put("zone", "zone-" + name.substring(name.lastIndexOf('-') + 1));
		values.put("initialStart", Boolean.toString(first));
		Path data = this.folder.resolve(name + "-data");
		if (control) {
			Files.createDirectories(data);
		}
		values.put("dataDirectory", control ? data.toString() : "");
		values.put("internalPortRange", "7000,7015");
		List<String> seeds = new ArrayList<>();
		this.cores.stream().limit(3).forEach((core) -> seeds.add(core + ":8345"));
		values.put("seeds|json", JSON.writeValueAsString(seeds));
		values.put("faultTolerance.machines", "1");
		values.put("bounds.maxHoldMs", "10000");
		values.put("bounds.leaseMs", "3000");
		values.put("bounds.maintenanceS", "2");
		values.put("bounds.graceS", "6");
		values.put("listenAddresses.front", control ? "" : host + ":8340");
		values.put("listenAddresses.readiness", control ? "" : host + ":8343");
		values.put("listenAddresses.control", control ? host + ":8345" : "");
		values.put("cloudApi.address", this.net + "4.1:8344");
		values.put("cloudApi.dutyPerS", "64.0");
		String template = Files.readString(this.repository.resolve("platform/templates/settings.json"));
		Matcher fields = Pattern.compile("\\{\\{([^}]*)}}").matcher(template);
		String settings = fields.replaceAll((match) -> Matcher.quoteReplacement(values.get(match.group(1))));
		Path file = this.folder.resolve(name + ".settings");
		Files.writeString(file, settings);
		String deploy = Files.readString(this.repository.resolve("deploy/system.toml"));
		Matcher run = Pattern.compile("\\[roles\\." + role + "]\\s+run = \"([^\"]*)\"").matcher(deploy);
		if (!run.find()) {
			throw new IOException("no command for role " + role);
		}
		List<String> command = List.of(run.group(1).replace("/etc/burdockpin/settings.toml", file.toString()).split(" "));
		ProcessBuilder builder = new ProcessBuilder(command).directory(this.repository.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(new File(this.folder.toFile(), name + ".log")));
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("BURDOCKPIN_NODE_FILE", file.toString());
		Process process = builder.start();
		this.processes.add(process);
		this.byHost.put(host, process);
		log("started %s on %s, pid %d", name, host, process.pid());
	}

	void signal(String host, String signal) throws Exception {
		log("SIG%s to %s", signal, host);
		new ProcessBuilder("kill", "-" + signal, Long.toString(this.byHost.get(host).pid())).start().waitFor();
	}

	void awaitReady(double seconds) {
		double end = now() + seconds;
		while (now() < end) {
			if (this.fronts.stream().allMatch((host) -> request(host, 8343, "GET", "/api/readiness", Map.of(), null, 500).status == 200)) {
				log("all entry hosts are ready");
				return;
			}
			sleep(0.2);
		}
		throw new CannotRun("the system was not ready in time");
	}

	void close() {
		if (this.closed) {
			return;
		}
		this.closed = true;
		this.processes.forEach(Process::destroyForcibly);
		this.processes.forEach((process) -> {
			try {
				process.waitFor();
			}
			catch (InterruptedException ex) {
				// ending
			}
		});
		if (System.getenv("KEEP") != null) {
			System.out.println("kept " + this.folder);
			return;
		}
		try (var files = Files.walk(this.folder)) {
			files.sorted(Comparator.reverseOrder()).forEach((file) -> file.toFile().delete());
		}
		catch (IOException ex) {
			// leaves the temporary folder
		}
	}

	// clients and the operator

	/** A client's call: other entry hosts are asked after no answer, a 502 or a 504. */
	Answer call(String method, String path, Object body) {
		Answer answer = new Answer(0, "");
		for (int attempt = 0; attempt < 5; attempt++) {
			String host = this.fronts.get(Math.floorMod(this.nextFront++, this.fronts.size()));
			answer = request(host, 8340, method, path,
					Map.of("Host", "jobs.example", "X-Deadline-Remaining", "3000"), body, 3000);
			if (answer.status != 0 && answer.status != 502 && answer.status != 504 && answer.status != 503) {
				return answer;
			}
			sleep(0.2);
		}
		return answer;
	}

	boolean submit(String prefix, String id, Object job) {
		Answer answer = call("POST", prefix + id, job);
		log("client POST %s%s -> %d", prefix, id, answer.status);
		return answer.status >= 200 && answer.status < 300;
	}

	String state(String prefix, String id) {
		Answer answer = call("GET", prefix + id, null);
		return (answer.status == 200) ? answer.json().path("state").asText() : Integer.toString(answer.status);
	}

	String id() {
		return String.format("%016x", this.random.nextLong());
	}

	void configure(Object configuration) {
		double end = now() + 30;
		while (now() < end) {
			String host = this.cores.get(Math.floorMod(this.nextCore++, this.cores.size()));
			Answer answer = request(host, 8345, "PUT", "/api/configuration", Map.of(), configuration, 1500);
			if (answer.status == 200) {
				log("operator PUT configuration to %s -> 200", host);
				return;
			}
			sleep(0.3);
		}
		throw new CannotRun("the configuration was not acknowledged");
	}

	static Map<String, Object> map(Object... pairs) {
		Map<String, Object> map = new LinkedHashMap<>();
		for (int i = 0; i < pairs.length; i += 2) {
			map.put((String) pairs[i], pairs[i + 1]);
		}
		return map;
	}

	static Map<String, Object> route(String name, String prefix, String service, int maxAttempts) {
		return map("name", name, "host", "jobs.example", "pathPrefix", prefix, "kind", "non_idempotent", "timeoutMs",
				3000, "targetLatencyMs", 600, "priority", 0, "service", service, "maxAttempts", maxAttempts, "stretch",
				1.6, "public", true);
	}

	static Map<String, Object> service(String name) {
		return map("name", name, "healthPath", "/health", "connectionLimit", 64, "protocol", "h1", "tls", false,
				"admissionCheck", false, "spare", false);
	}

	static Map<String, Object> configuration(int version, List<?> routes, List<?> services) {
		return map("version", version, "routes", routes, "services", services, "limits",
				map("maxHeaderBytes", 16384, "maxBodyBytes", 262144, "headerTimeoutMs", 3000, "idleTimeoutMs", 15000),
				"tenants", List.of());
	}

	static Answer request(String host, int port, String method, String path, Map<String, String> headers, Object body,
			int timeoutMillis) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(host, port), timeoutMillis);
			socket.setSoTimeout(timeoutMillis);
			byte[] bytes = (body == null) ? new byte[0] : JSON.writeValueAsBytes(body);
			StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
			if (!headers.containsKey("Host")) {
				head.append("Host: ").append(host).append(':').append(port).append("\r\n");
			}
			headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
			if (body != null) {
				head.append("Content-Type: application/json\r\nContent-Length: ").append(bytes.length).append("\r\n");
			}
			head.append("Connection: close\r\n\r\n");
			OutputStream out = socket.getOutputStream();
			ByteArrayOutputStream all = new ByteArrayOutputStream();
			all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
			all.write(bytes);
			out.write(all.toByteArray());
			out.flush();
			Message answer = Message.read(new BufferedInputStream(socket.getInputStream()));
			return new Answer(Integer.parseInt(answer.first.split(" ")[1]), new String(answer.body, StandardCharsets.UTF_8));
		}
		catch (IOException | RuntimeException ex) {
			return new Answer(0, String.valueOf(ex.getMessage()));
		}
	}

	record Answer(int status, String body) {

		JsonNode json() {
			try {
				return JSON.readTree(this.body);
			}
			catch (IOException ex) {
				return JSON.createObjectNode();
			}
		}

	}

	/** The case cannot run; exit status 2. */
	static final class CannotRun extends RuntimeException {

		CannotRun(String message) {
			super(message);
		}

	}

	/** Body of a case: returns whether the rule held. */
	interface Body {

		boolean run(Lab lab) throws Exception;

	}

	static void main(String folder, Body body) {
		int status = 2;
		Lab lab = null;
		try {
			lab = new Lab(folder);
			status = body.run(lab) ? 0 : BROKEN;
			lab.log("result: %s", (status == 0) ? "the rule held" : "THE RULE WAS BROKEN");
		}
		catch (Throwable ex) {
			if (lab != null) {
				lab.log("cannot run: %s", ex);
			}
			ex.printStackTrace();
		}
		if (lab != null) {
			lab.close();
		}
		System.out.println("exit " + status);
		Runtime.getRuntime().halt(status);
	}

	// HTTP

	/** One HTTP/1.1 message with a Content-Length. */
	static final class Message {

		String first;

		final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

		byte[] body = new byte[0];

		static Message read(InputStream in) throws IOException {
			Message message = new Message();
			message.first = line(in);
			if (message.first == null || message.first.isEmpty()) {
				throw new IOException("closed");
			}
			for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
				int colon = line.indexOf(':');
				message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
			}
			int length = Integer.parseInt(message.headers.getOrDefault("Content-Length", "0"));
			message.body = in.readNBytes(length);
			if (message.body.length < length) {
				throw new IOException("closed in a body");
			}
			return message;
		}

		private static String line(InputStream in) throws IOException {
			StringBuilder line = new StringBuilder();
			for (int next = in.read(); next >= 0; next = in.read()) {
				if (next == '\n') {
					return line.toString();
				}
				if (next != '\r') {
					line.append((char) next);
				}
			}
			return null;
		}

	}

	/** A small HTTP/1.1 server with a thread for each connection. */
	abstract static class Server {

		final ServerSocket server;

		final Map<Socket, Boolean> connections = new ConcurrentHashMap<>();

		volatile boolean stopped;

		Server(String host, int port) throws IOException {
			this.server = bind(host, port);
			thread(this::accept);
		}

		static Thread thread(Runnable body) {
			Thread thread = new Thread(body);
			thread.setDaemon(true);
			thread.start();
			return thread;
		}

		private void accept() {
			try {
				while (true) {
					Socket socket = this.server.accept();
					socket.setTcpNoDelay(true);
					this.connections.put(socket, true);
					thread(() -> serve(socket));
				}
			}
			catch (IOException ex) {
				// closed
			}
		}

		private void serve(Socket socket) {
			try (socket) {
				InputStream in = new BufferedInputStream(socket.getInputStream());
				OutputStream out = socket.getOutputStream();
				while (true) {
					Message request = Message.read(in);
					Answer answer = mayServe(socket) ? handle(request) : null;
					if (answer == null || !mayServe(socket)) {
						hang(socket);
						return;
					}
					byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
					out.write(("HTTP/1.1 " + answer.status() + " X\r\nContent-Type: application/json\r\nContent-Length: "
							+ body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
					out.write(body);
					out.flush();
				}
			}
			catch (Exception ex) {
				// connection closed
			}
			finally {
				this.connections.remove(socket);
			}
		}

		boolean mayServe(Socket socket) {
			return true;
		}

		void hang(Socket socket) {
		}

		abstract Answer handle(Message request) throws Exception;

		void stop() {
			this.stopped = true;
			try {
				this.server.close();
			}
			catch (IOException ex) {
				// closed
			}
			this.connections.keySet().forEach(Server::reset);
		}

		static void reset(Socket socket) {
			try {
				socket.setSoLinger(true, 0);
				socket.close();
			}
			catch (IOException ex) {
				// closed
			}
		}

	}

	/** The platform's host API: lists the machines; no machine may be moved here. */
	final class HostApi extends Server {

		HostApi(String host, int port) throws IOException {
			super(host, port);
		}

		@Override
		Answer handle(Message request) throws Exception {
			if (request.first.startsWith("GET /api/machines")) {
				List<Object> machines = new ArrayList<>();
				Lab.this.runners.values()
					.forEach((runner) -> machines.add(map("machine", runner.machine, "pool", runner.service, "state", "up",
							"zone", runner.zone, "labels", runner.labels, "capacity", runner.capacity, "id", runner.id)));
				return new Answer(200, JSON.writeValueAsString(map("machines", machines)));
			}
			// Each pool here is a pool of machines of its own, so no machine may be moved.
			log("platform: %s %s -> 400", request.first, new String(request.body, StandardCharsets.UTF_8));
			return new Answer(400, "{}");
		}

	}

}
