import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * One life of a runner, as PROTOCOL.md describes it. The specification of a job says how
 * long its tasks take: "ms=200"; a task without it runs until it is stopped. It doesn't
 * guard its capacity, but reports when it is exceeded. A cut leaves all calls unanswered
 * in both directions while the tasks run on; connections of that time are closed when
 * the cut heals.
 */
final class RunnerStandIn extends Lab.Server {

	/** What all runners of a case have seen, by task. */
	static final Map<String, Seen> SEEN = new ConcurrentHashMap<>();

	/** Starts of a task while it ran on another runner that was up. */
	static final AtomicInteger TWICE = new AtomicInteger();

	/** A stop takes stopTimeoutMs (900) at most. */
	static final double STOP_SECONDS = 0.4;

	static final class Seen {

		int starts;

		int done;

		int startsAfterListedDone;

		volatile double firstListedDone = Double.NaN;

		volatile double lastStart = Double.NaN;

		final Map<String, Integer> running = new ConcurrentHashMap<>();

	}

	static final class Run {

		String task;

		int run;

		double endsAt;

		double startedAt;

		boolean lasts;

		double stopsAt = Double.NaN;

	}

	record End(long number, String task, int run, String how, double at) {

	}

	final Lab lab;

	final String id;

	final String machine;

	final String service;

	final String host;

	final String zone = "zone-1";

	final List<String> labels;

	final Map<String, Object> capacity;

	final long born = System.currentTimeMillis();

	final long bornNanos = System.nanoTime();

	final Map<String, Run> running = new LinkedHashMap<>();

	final Map<String, Integer> closedRuns = new HashMap<>();

	final List<End> ends = new ArrayList<>();

	/** Number of the last end that was listed to anyone, and when each was listed first. */
	final Map<Long, Double> listedAt = new HashMap<>();

	final Map<Long, Double> notedAt = new HashMap<>();

	long lastListed;

	long cursor;

	long numbers;

	long fence;

	long deadline;

	int startsAccepted;

	volatile boolean cut;

	/** Since when a hold waits for an end; NaN if none does. */
	volatile double heldSince = Double.NaN;

	final List<Socket> heldSockets = new ArrayList<>();

	int sequence;

	RunnerStandIn(Lab lab, String service, String id, String machine, String host, String rack) throws IOException {
		super(host, 8080);
		this.lab = lab;
		this.service = service;
		this.id = id;
		this.machine = machine;
		this.host = host;
		this.labels = List.of("a", rack);
		this.capacity = Lab.map("cpu", 16000, "memMb", 32768, "gpu", 0);
		lab.runners.put(id, this);
		thread(this::announce);
		thread(this::tick);
	}

	long clock() {
		return 1000 + (System.nanoTime() - this.bornNanos) / 1_000_000;
	}

	// announcements

	private void announce() {
		int core = Math.floorMod(this.id.hashCode(), this.lab.cores.size());
		while (!this.stopped && !this.lab.closed) {
			if (!this.cut) {
				this.sequence++;
				Map<String, Object> body = Lab.map("service", this.service, "machine", this.machine, "address",
						this.host + ":8080", "zone", this.zone, "version", "v1", "slots", 8, "state", "ready",
						"coldRemainingMs", 0, "capacity", this.capacity, "labels", this.labels, "clockMs", clock(),
						"born", this.born, "sequence", this.sequence);
				for (int attempt = 0; attempt < this.lab.cores.size(); attempt++) {
					int status = Lab.request(this.lab.cores.get(core), 8345, "PUT", "/api/instances/" + this.id,
							Map.of(), body, 1000).status();
					if (status >= 200 && status < 300) {
						break;
					}
					core = (core + 1) % this.lab.cores.size();
				}
			}
			Lab.sleep(1.5);
		}
	}

	// disruptions

	synchronized void cut(boolean on) {
		this.lab.log("runner %s: cut %s; runs %s", this.id, on ? "begins" : "heals", this.running.keySet());
		if (on) {
			this.cut = true;
			this.heldSockets.addAll(this.connections.keySet());
		}
		else {
			List<Socket> held = new ArrayList<>(this.connections.keySet());
			held.forEach(Lab.Server::reset);
			this.heldSockets.clear();
			this.cut = false;
		}
		notifyAll();
	}

	/** The runner crashes: its connections end, its tasks are gone. */
	synchronized void crash() {
		this.lab.log("runner %s (born %d): crashes; runs %s", this.id, this.born, this.running.keySet());
		this.running.values().forEach((run) -> SEEN.get(run.task).running.remove(this.id + "@" + this.born));
		this.running.clear();
		stop();
	}

	@Override
	boolean mayServe(Socket socket) {
		synchronized (this) {
			return !this.cut && !this.heldSockets.contains(socket);
		}
	}

	@Override
	void hang(Socket socket) {
		while (!socket.isClosed() && !this.stopped) {
			Lab.sleep(0.05);
		}
	}

	// work

	private void tick() {
		while (!this.stopped && !this.lab.closed) {
			synchronized (this) {
				double now = this.lab.now();
				boolean lapsed = !this.running.isEmpty() && clock() > this.deadline;
				for (Run run : new ArrayList<>(this.running.values())) {
					if (now >= run.stopsAt) {
						end(run, "stopped");
					}
					else if (lapsed) {
						end(run, "lapsed");
					}
					else if (!run.lasts && now >= run.endsAt) {
						end(run, "done");
					}
				}
			}
			Lab.sleep(0.005);
		}
	}

	private void end(Run run, String how) {
		this.running.remove(run.task);
		this.closedRuns.merge(run.task, run.run, Math::max);
		this.numbers++;
		this.ends.add(new End(this.numbers, run.task, run.run, how, this.lab.now()));
		Seen seen = SEEN.get(run.task);
		seen.running.remove(this.id + "@" + this.born);
		if (how.equals("done")) {
			seen.done++;
		}
		this.lab.log("runner %s: end %d of %s run %d: %s", this.id, this.numbers, run.task, run.run, how);
		notifyAll();
	}

	@Override
	Lab.Answer handle(Lab.Message request) throws Exception {
		String expected = request.headers.get("X-Expected-Instance");
		if (expected != null && !expected.equals(this.id)) {
			return new Lab.Answer(421, "{}");
		}
		JsonNode body = Lab.JSON.readTree(request.body);
		String path = request.first.split(" ")[1];
		return switch (path) {
			case "/api/run-start" -> start(body);
			case "/api/run-stop" -> stopRun(body);
			case "/api/hold" -> hold(body);
			case "/api/pace" -> new Lab.Answer(200, "{\"clockMs\":" + clock() + "}");
			default -> new Lab.Answer(404, "{}");
		};
	}

	private boolean isFenced(JsonNode body) {
		long token = body.path("fencingToken").asLong(0);
		if (token < this.fence) {
			return true;
		}
		this.fence = token;
		return false;
	}

	private Lab.Answer conflict(String reason) {
		return new Lab.Answer(409, "{\"clockMs\":" + clock() + ",\"reason\":\"" + reason + "\"}");
	}

	private void grant(JsonNode body) {
		if (body.has("deadlineMs")) {
			this.deadline = Math.max(this.deadline, Math.min(body.path("deadlineMs").asLong(), clock() + 10_000));
		}
	}

	private synchronized Lab.Answer start(JsonNode body) {
		if (isFenced(body)) {
			return conflict("fence");
		}
		String task = body.path("task").asText();
		int number = body.path("run").asInt();
		if (body.path("deadlineMs").asLong() <= clock()) {
			return conflict("late");
		}
		grant(body);
		Run known = this.running.get(task);
		if (known != null && known.run == number) {
			return new Lab.Answer(200, "{\"clockMs\":" + clock() + "}");
		}
		if (known != null || this.closedRuns.getOrDefault(task, 0) >= number) {
			this.lab.log("runner %s: start of %s run %d -> 409 old", this.id, task, number);
			return conflict("old");
		}
		String specification = body.path("specification").asText();
		Run run = new Run();
		run.task = task;
		run.run = number;
		run.startedAt = this.lab.now();
		run.lasts = !specification.startsWith("ms=");
		run.endsAt = run.lasts ? Double.MAX_VALUE
				: run.startedAt + Integer.parseInt(specification.substring(3).split(" ")[0]) / 1000.0;
		this.running.put(task, run);
		this.startsAccepted++;
		Seen seen = SEEN.computeIfAbsent(task, (name) -> new Seen());
		synchronized (seen) {
			seen.starts++;
			seen.lastStart = this.lab.now();
			if (seen.done > 0) {
				seen.startsAfterListedDone++;
			}
			seen.running.put(this.id + "@" + this.born, number);
			if (seen.running.size() > 1) {
				TWICE.incrementAndGet();
			}
			this.lab.log("runner %s: starts %s run %d%s", this.id, task, number,
					(seen.running.size() > 1) ? " WHILE IT RUNS ELSEWHERE: " + seen.running : "");
		}
		return new Lab.Answer(200, "{\"clockMs\":" + clock() + "}");
	}

	private synchronized Lab.Answer stopRun(JsonNode body) {
		if (isFenced(body)) {
			return conflict("fence");
		}
		String task = body.path("task").asText();
		int number = body.path("run").asInt();
		this.lab.log("runner %s: stop of %s run %d", this.id, task, number);
		this.closedRuns.merge(task, number, Math::max);
		Run known = this.running.get(task);
		if (known != null && known.run <= number && Double.isNaN(known.stopsAt)) {
			known.stopsAt = this.lab.now() + STOP_SECONDS;
		}
		return new Lab.Answer(200, "{\"clockMs\":" + clock() + "}");
	}

	private synchronized Lab.Answer hold(JsonNode body) throws Exception {
		if (isFenced(body)) {
			return conflict("fence");
		}
		grant(body);
		long acknowledged = body.path("ackCursor").asLong(0);
		this.cursor = Math.max(this.cursor, acknowledged);
		double now = this.lab.now();
		while (!this.ends.isEmpty() && this.ends.get(0).number() <= this.cursor) {
			End end = this.ends.remove(0);
			this.notedAt.put(end.number(), now);
		}
		// The answer waits for an end that was not listed yet.
		long until = System.nanoTime() + body.path("waitMs").asLong(0) * 1_000_000;
		this.heldSince = this.lab.now();
		while (this.numbers <= this.lastListed && System.nanoTime() < until && !this.stopped && !this.cut) {
			wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
		}
		this.heldSince = Double.NaN;
		this.lastListed = this.numbers;
		List<Object> runs = new ArrayList<>();
		for (Run run : this.running.values()) {
			int percent = run.lasts ? ((this.lab.now() - run.startedAt > 0.3) ? 100 : 0)
					: (int) Math.min(99, 100 * (this.lab.now() - run.startedAt) / (run.endsAt - run.startedAt));
			runs.add(List.of(run.task, run.run, "", percent, 0));
		}
		List<Object> rows = new ArrayList<>();
		this.ends.stream().limit(500).forEach((end) -> {
			rows.add(List.of(end.number(), end.task(), end.run(), end.how(), ""));
			this.listedAt.putIfAbsent(end.number(), this.lab.now());
		});
		return new Lab.Answer(200, Lab.JSON.writeValueAsString(
				Lab.map("clockMs", clock(), "born", this.born, "running", runs, "endedRuns", rows)));
	}

	synchronized int endsNotNoted(double olderThan) {
		double now = this.lab.now();
		return (int) this.listedAt.entrySet()
			.stream()
			.filter((entry) -> now - entry.getValue() > olderThan && !this.notedAt.containsKey(entry.getKey()))
			.count();
	}

	synchronized int endsListed() {
		return this.listedAt.size();
	}

	synchronized boolean runs(String task) {
		return this.running.containsKey(task);
	}

}
