import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * A runner as PROTOCOL.md describes it. A task works for the milliseconds that its specification names
 * ("ms=800"); 0 means that it lasts.
 */
final class Runner implements AutoCloseable {

	private static final int STOP_MILLIS = 200;

	private final Fleet fleet;

	private final String id;

	private final String address;

	private final String zone;

	private final long born = System.currentTimeMillis();

	private final long startNanos = System.nanoTime();

	private final HttpServer server;

	private final Cut cut;

	private final Map<String, Run> running = new LinkedHashMap<>();

	/** Highest run that was stopped or has ended, by task. */
	private final Map<String, Integer> closedRuns = new HashMap<>();

	private final List<End> ends = new ArrayList<>();

	private final List<Start> starts = new ArrayList<>();

	private final Map<Start, Long> endNanos = new HashMap<>();

	private final Thread clock;

	private final Thread heart;

	private long lastEnd;

	private long highestToken;

	private long deadlineMillis;

	private volatile boolean stopped;

	Runner(Fleet fleet, String id, String ip, String zone) throws IOException {
		this.fleet = fleet;
		this.id = id;
		this.address = ip + ":" + Fleet.RUNNER_PORT;
		this.zone = zone;
		this.server = HttpServer.create(new InetSocketAddress(ip, Fleet.RUNNER_PORT + 1), 50);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task);
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/api/", this::handle);
		this.server.start();
		this.cut = new Cut(ip, Fleet.RUNNER_PORT, this.server.getAddress());
		this.clock = thread(this::runClock);
		this.heart = thread(this::beat);
	}

	static {
		System.setProperty("sun.net.httpserver.nodelay", "true");
	}

	private static Thread thread(Runnable task) {
		Thread thread = new Thread(task);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	@Override
	public void close() {
		this.stopped = true;
		this.server.stop(0);
		try {
			this.cut.close();
		}
		catch (IOException ex) {
			System.err.println("cannot close the links of " + this.id + ": " + ex);
		}
	}

	/** The links of this runner to all machines of the system. */
	Cut cut() {
		return this.cut;
	}

	/** Returns the tasks that this runner has begun. */
	synchronized List<Start> starts() {
		return List.copyOf(this.starts);
	}

	/** Returns when a run has ended; empty while it goes on. */
	synchronized OptionalLong endNanos(Start start) {
		Long nanos = this.endNanos.get(start);
		return (nanos != null) ? OptionalLong.of(nanos) : OptionalLong.empty();
	}

	/** The name of the machine of this runner. */
	String machine() {
		return "m-" + this.id;
	}

	String id() {
		return this.id;
	}

	private long clockMillis() {
		return (System.nanoTime() - this.startNanos) / 1_000_000;
	}

	private void handle(HttpExchange exchange) throws IOException {
		String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
		if (expected != null && !expected.equals(this.id)) {
			answer(exchange, 421, "{}");
			return;
		}
		switch (exchange.getRequestURI().getPath()) {
			case "/api/run-start" -> start(exchange, body);
			case "/api/run-stop" -> stop(exchange, body);
			case "/api/hold" -> hold(exchange, body);
			case "/api/pace" -> answer(exchange, 200, "{\"clockMs\":%d}".formatted(clockMillis()));
			default -> answer(exchange, 404, "{}");
		}
	}

	private static void answer(HttpExchange exchange, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	private void refuse(HttpExchange exchange, String reason) throws IOException {
		answer(exchange, 409, "{\"clockMs\":%d,\"reason\":\"%s\"}".formatted(clockMillis(), reason));
	}

	private synchronized boolean isFenced(String body) {
		long token = number(body, "fencingToken", 0);
		boolean fenced = token < this.highestToken;
		this.highestToken = Math.max(this.highestToken, token);
		return fenced;
	}

	private void start(HttpExchange exchange, String body) throws IOException {
		String task = text(body, "task");
		int run = (int) number(body, "run", 0);
		String reason = "";
		if (isFenced(body)) {
			refuse(exchange, "fence");
			return;
		}
		synchronized (this) {
			long deadline = number(body, "deadlineMs", 0);
			Run present = this.running.get(task);
			if (deadline <= clockMillis()) {
				reason = "late";
			}
			else {
				this.deadlineMillis = Math.max(this.deadlineMillis, deadline);
				if (present != null && present.number == run) {
					reason = "";
				}
				else if (run <= this.closedRuns.getOrDefault(task, 0)) {
					reason = "old";
				}
				else {
					Matcher millis = Pattern.compile("ms=(\\d+)").matcher(text(body, "specification"));
					long work = millis.find() ? Long.parseLong(millis.group(1)) : 500;
					this.running.put(task, new Run(run, clockMillis(), work));
					this.starts.add(new Start(task, run, System.nanoTime()));
					this.fleet.record.line("runner %s starts %s run %d", this.id, task, run);
				}
			}
		}
		if (reason.isEmpty()) {
			answer(exchange, 200, "{\"clockMs\":%d}".formatted(clockMillis()));
		}
		else {
			refuse(exchange, reason);
		}
	}

	private void stop(HttpExchange exchange, String body) throws IOException {
		if (isFenced(body)) {
			refuse(exchange, "fence");
			return;
		}
		synchronized (this) {
			String task = text(body, "task");
			int run = (int) number(body, "run", 0);
			this.closedRuns.merge(task, run, Math::max);
			Run present = this.running.get(task);
			if (present != null && present.number <= run && present.stopAt == 0) {
				present.stopAt = clockMillis() + STOP_MILLIS;
			}
		}
		answer(exchange, 200, "{\"clockMs\":%d}".formatted(clockMillis()));
	}

	private void hold(HttpExchange exchange, String body) throws IOException {
		if (isFenced(body)) {
			refuse(exchange, "fence");
			return;
		}
		StringBuilder listing = new StringBuilder();
		synchronized (this) {
			long acknowledged = number(body, "ackCursor", 0);
			this.ends.removeIf((end) -> end.number <= acknowledged);
			this.deadlineMillis = Math.max(this.deadlineMillis, number(body, "deadlineMs", 0));
			long until = System.nanoTime() + Math.min(2_000, number(body, "waitMs", 0)) * 1_000_000;
			long before = this.lastEnd;
			while (this.lastEnd == before && System.nanoTime() < until) {
				try {
					wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
				}
				catch (InterruptedException ex) {
					break;
				}
			}
			listing.append("{\"clockMs\":%d,\"born\":%d,\"running\":[".formatted(clockMillis(), this.born));
			String comma = "";
			for (Map.Entry<String, Run> entry : this.running.entrySet()) {
				Run run = entry.getValue();
				long percent = (run.workMillis == 0) ? 100
						: Math.min(99, 100 * (clockMillis() - run.startMillis) / run.workMillis);
				listing.append(comma)
					.append("[\"%s\",%d,\"\",%d,0]".formatted(entry.getKey(), run.number, percent));
				comma = ",";
			}
			listing.append("],\"endedRuns\":[");
			comma = "";
			for (End end : this.ends.subList(0, Math.min(500, this.ends.size()))) {
				listing.append(comma)
					.append("[%d,\"%s\",%d,\"%s\",\"\"]".formatted(end.number, end.task, end.run, end.how));
				comma = ",";
			}
			listing.append("]}");
		}
		answer(exchange, 200, listing.toString());
	}

	private void runClock() {
		while (!this.stopped) {
			synchronized (this) {
				long now = clockMillis();
				for (String task : List.copyOf(this.running.keySet())) {
					Run run = this.running.get(task);
					if (now > this.deadlineMillis) {
						end(task, run, "lapsed");
					}
					else if (run.stopAt > 0 && now >= run.stopAt) {
						end(task, run, "stopped");
					}
					else if (run.workMillis > 0 && now - run.startMillis >= run.workMillis) {
						end(task, run, "done");
					}
				}
			}
			sleep(10);
		}
	}

	private void end(String task, Run run, String how) {
		this.running.remove(task);
		this.starts.stream()
			.filter((start) -> start.task().equals(task) && start.run() == run.number)
			.forEach((start) -> this.endNanos.put(start, System.nanoTime()));
		this.closedRuns.merge(task, run.number, Math::max);
		this.lastEnd++;
		this.ends.add(new End(this.lastEnd, task, run.number, how));
		this.fleet.record.line("runner %s: %s run %d has ended %s", this.id, task, run.number, how);
		notifyAll();
	}

	private void beat() {
		int node = 0;
		for (long sequence = 1; !this.stopped; sequence++) {
			String body = """
					{"service":"panel","address":"%s","zone":"%s","version":"v1","slots":8,"state":"ready",\
					"coldRemainingMs":0,"capacity":{"cpu":16000,"memMb":32768,"gpu":0},"labels":["a","r1-1"],\
					"clockMs":%d,"born":%d,"machine":"%s","sequence":%d}"""
				.formatted(this.address, this.zone, clockMillis(), this.born, machine(), sequence);
			List<String> nodes = this.fleet.controlAddresses();
			for (int attempt = 0; attempt < nodes.size() && !this.stopped && !this.cut.isActive(); attempt++) {
				Fleet.Reply reply = Fleet.call(nodes.get(node % nodes.size()), "PUT", "/api/instances/" + this.id,
						Map.of(), body, 1_000);
				if (reply.isSuccess()) {
					break;
				}
				node++;
			}
			sleep(1_500);
		}
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String text(String body, String name) {
		Matcher matcher = Pattern.compile("\"" + name + "\":\"([^\"]*)\"").matcher(body);
		return matcher.find() ? matcher.group(1) : "";
	}

	private static long number(String body, String name, long missing) {
		Matcher matcher = Pattern.compile("\"" + name + "\":(\\d+)").matcher(body);
		return matcher.find() ? Long.parseLong(matcher.group(1)) : missing;
	}

	private static final class Run {

		private final int number;

		private final long startMillis;

		private final long workMillis;

		private long stopAt;

		private Run(int number, long startMillis, long workMillis) {
			this.number = number;
			this.startMillis = startMillis;
			this.workMillis = workMillis;
		}

	}

	/** A task that was begun. */
	record Start(String task, int run, long atNanos) {

	}

	private record End(long number, String task, int run, String how) {

	}

}
