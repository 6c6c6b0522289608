import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** One life of a runner that takes its orders by calls, as PROTOCOL.md describes. */
final class Runner {

	private final Lab lab;

	private final Fleet fleet;

	final String id;

	final String machine;

	final String service;

	final String address;

	private final String zone;

	final long born = System.currentTimeMillis();

	private final long startedNanos = System.nanoTime();

	private final HttpServer server;

	private final ExecutorService threads;

	private final Map<String, Run> running = new LinkedHashMap<>();

	private final List<End> ends = new ArrayList<>();

	private final Map<String, Integer> closedRuns = new HashMap<>();

	private long lastEnd;

	private long fence;

	private long leaseEndMillis;

	volatile boolean draining;

	volatile boolean up = true;

	/** Whether the regular heartbeats wait for the answer to one that is on its way. */
	volatile boolean awaitingAnswer;

	private long sequence;

	/** Index of the control host that took the last heartbeat. */
	private int target;

	Runner(Lab lab, Fleet fleet, String id, String machine, String service, String zone, String ip, int port)
			throws IOException {
		this.lab = lab;
		this.fleet = fleet;
		this.id = id;
		this.machine = machine;
		this.service = service;
		this.zone = zone;
		this.address = ip + ":" + port;
		this.threads = Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, id);
			thread.setDaemon(true);
			return thread;
		});
		this.server = HttpServer.create(new InetSocketAddress(ip, port), 0);
		this.server.setExecutor(this.threads);
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	// its own clock

	long clockMillis() {
		return (System.nanoTime() - this.startedNanos) / 1_000_000;
	}

	/** Ends runs whose work is done or whose lease has expired. */
	synchronized void tick() {
		if (!this.up) {
			return;
		}
		boolean lapsed = !this.running.isEmpty() && clockMillis() >= this.leaseEndMillis;
		for (Run run : List.copyOf(this.running.values())) {
			if (lapsed) {
				end(run, "lapsed");
			}
			else if (clockMillis() >= run.endMillis) {
				end(run, run.fails ? "failed" : "done");
			}
		}
	}

	private void end(Run run, String how) {
		this.running.remove(run.task);
		this.closedRuns.merge(run.task, run.number, Math::max);
		this.lastEnd++;
		this.ends.add(new End(this.lastEnd, run.task, run.number, how));
		this.fleet.onEnd(this, run.task, run.number, how);
		notifyAll();
	}

	// orders

	private void handle(HttpExchange exchange) throws IOException {
		try {
			JsonNode order = Http.JSON.readTree(exchange.getRequestBody().readAllBytes());
			String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
			if (expected != null && !expected.equals(this.id)) {
				Http.reply(exchange, 421, answer());
				return;
			}
			switch (exchange.getRequestURI().getPath()) {
				case "/api/run-start" -> start(exchange, order);
				case "/api/run-stop" -> stop(exchange, order);
				case "/api/hold" -> hold(exchange, order);
				case "/api/pace" -> Http.reply(exchange, 200, answer());
				default -> Http.reply(exchange, 400, answer());
			}
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
		finally {
			exchange.close();
		}
	}

	private synchronized ObjectNode answer() {
		return Http.object().put("clockMs", clockMillis()).put("born", this.born);
	}

	private synchronized boolean isFenced(JsonNode order) {
		long token = order.path("fencingToken").asLong(0);
		if (token < this.fence) {
			return true;
		}
		this.fence = token;
		return false;
	}

	private synchronized void extendLease(JsonNode order) {
		if (order.has("deadlineMs")) {
			long end = Math.min(order.get("deadlineMs").asLong(), clockMillis() + Lab.MAX_HOLD_MILLIS);
			this.leaseEndMillis = Math.max(this.leaseEndMillis, end);
		}
	}

	private synchronized String startRefusal(JsonNode order) {
		String task = order.get("task").asText();
		int number = order.get("run").asInt();
		if (isFenced(order)) {
			return "fence";
		}
		if (order.get("deadlineMs").asLong() <= clockMillis()) {
			return "late";
		}
		extendLease(order);
		Run known = this.running.get(task);
		if (known != null && known.number == number) {
			return "";
		}
		if (known != null || number <= this.closedRuns.getOrDefault(task, 0)) {
			return "old";
		}
		String specification = order.path("specification").asText("");
		Run run = new Run(task, number, clockMillis() + Fleet.value(specification, "ms", 800),
				number <= Fleet.value(specification, "fails", 0));
		this.running.put(task, run);
		this.fleet.onStart(this, task, number);
		return "";
	}

	private void start(HttpExchange exchange, JsonNode order) throws IOException {
		String refusal = startRefusal(order);
		if (refusal.isEmpty()) {
			Http.reply(exchange, 200, answer());
		}
		else {
			Http.reply(exchange, 409, answer().put("reason", refusal));
		}
	}

	private void stop(HttpExchange exchange, JsonNode order) throws IOException {
		boolean fenced;
		synchronized (this) {
			fenced = isFenced(order);
			if (!fenced) {
				String task = order.get("task").asText();
				int number = order.get("run").asInt();
				this.closedRuns.merge(task, number, Math::max);
				Run known = this.running.get(task);
				if (known != null && known.number <= number) {
					end(known, "stopped");
				}
			}
		}
		Http.reply(exchange, fenced ? 409 : 200, fenced ? answer().put("reason", "fence") : answer());
	}

	private void hold(HttpExchange exchange, JsonNode order) throws IOException, InterruptedException {
		ObjectNode reply;
		synchronized (this) {
			if (isFenced(order)) {
				reply = answer().put("reason", "fence");
			}
			else {
				extendLease(order);
				long cursor = order.path("ackCursor").asLong(0);
				for (End end : List.copyOf(this.ends)) {
					if (end.number <= cursor) {
						this.ends.remove(end);
						this.fleet.onNoted(this, end.task, end.run, end.how);
					}
				}
				long until = clockMillis() + order.path("waitMs").asLong(0);
				long known = this.lastEnd;
				while (this.lastEnd == known && clockMillis() < until) {
					wait(Math.max(1, until - clockMillis()));
				}
				reply = answer();
				ArrayNode runs = reply.putArray("running");
				this.running.values().forEach((run) -> runs.addArray().add(run.task).add(run.number).add("").add(50));
				ArrayNode listed = reply.putArray("endedRuns");
				this.ends.stream()
					.limit(500)
					.forEach((end) -> listed.addArray().add(end.number).add(end.task).add(end.run).add(end.how).add(""));
			}
		}
		Http.reply(exchange, reply.has("reason") ? 409 : 200, reply);
	}

	// heartbeats

	byte[] nextHeartbeat() {
		ObjectNode body = Http.object()
			.put("service", this.service)
			.put("address", this.address)
			.put("machine", this.machine)
			.put("zone", this.zone)
			.put("version", "v1")
			.put("slots", 8)
			.put("state", this.draining ? "draining" : "ready")
			.put("coldRemainingMs", 0)
			.put("born", this.born)
			.put("clockMs", clockMillis())
			.put("sequence", ++this.sequence);
		body.putObject("capacity").put("cpu", 16_000).put("memMb", 32_768).put("gpu", 0);
		body.putArray("labels").add("a").add("r-" + this.machine);
		if (this.draining) {
			body.put("remainingMs", 2_000);
		}
		return body.toString().getBytes();
	}

	/** Sends a heartbeat, to the next control host if one does not acknowledge it. */
	boolean beat(int attempts) {
		byte[] body = nextHeartbeat();
		for (int attempt = 0; attempt < attempts; attempt++) {
			Lab.Node node = this.lab.controls.get(this.target % this.lab.controls.size());
			if (Http.send("PUT", node.control(), "/api/instances/" + this.id, body, 1_000, Map.of()).isAccepted()) {
				return true;
			}
			this.target++;
		}
		return false;
	}

	void prefer(int control) {
		this.target = control;
	}

	void crash() {
		synchronized (this) {
			this.up = false;
			this.running.clear();
			notifyAll();
		}
		this.server.stop(0);
		this.threads.shutdownNow();
	}

	synchronized int runCount() {
		return this.running.size();
	}

	private record Run(String task, int number, long endMillis, boolean fails) {

	}

	private record End(long number, String task, int run, String how) {

	}

}
