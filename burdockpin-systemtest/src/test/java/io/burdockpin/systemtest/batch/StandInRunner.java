package io.burdockpin.systemtest.batch;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.sun.net.httpserver.HttpExchange;

/**
 * One incarnation of a runner of the users' platform. A specification is the time that
 * its tasks take, in milliseconds. Its state belongs to its own thread, which also reads
 * its sockets.
 */
final class StandInRunner {

	private static final long ANNOUNCE_MILLIS = 1_500;

	private static final long ANSWER_MILLIS = 1_000;

	private static final long MAXIMUM_LEASE_MILLIS = 10_000;

	private static final long STOP_MILLIS = 400;

	/** Where the clock of an incarnation begins. */
	private static final long FIRST_CLOCK_MILLIS = 1_000;

	private static final int MAXIMUM_LISTED_ENDS = 500;

	private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();

	private final RunnerPlan plan;

	private final HttpClient client;

	private final JsonServer server;

	private final long bornWallMillis = System.currentTimeMillis();

	private final long bornNanos = System.nanoTime();

	private final Map<String, Work> running = new LinkedHashMap<>();

	private final Map<String, Integer> closedRuns = new HashMap<>();

	private final List<Work> ended = new ArrayList<>();

	private final List<RunRecord> records = new ArrayList<>();

	private final List<HttpExchange> waiting = new ArrayList<>();

	private final List<HttpExchange> cutOff = new ArrayList<>();

	private boolean isCut;

	private long answerDelayMillis;

	private long holdBackMillis;

	private long fencingToken;

	private long deadlineMillis;

	private long lastEnd;

	private long lastListedEnd;

	private int sequence;

	private int member;

	StandInRunner(RunnerPlan plan, HttpClient client) {
		this.plan = plan;
		this.client = client;
		this.server = new JsonServer(new InetSocketAddress(plan.host(), RunnerPlan.PORT), this.thread, this::onRequest);
		this.thread.scheduleAtFixedRate(this::announce, 0, ANNOUNCE_MILLIS, TimeUnit.MILLISECONDS);
	}

	// life cycle

	/**
	 * Ends with all that runs here.
	 * @return all runs of this incarnation
	 */
	List<RunRecord> crash() {
		return CompletableFuture.supplyAsync(() -> {
			long nowNanos = System.nanoTime();
			this.running.values().forEach((work) -> this.records.add(work.record(nowNanos, Optional.empty())));
			this.ended.forEach((work) -> this.records.add(work.record(work.endNanos, work.end)));
			this.server.close();
			this.thread.shutdownNow();
			return List.copyOf(this.records);
		}, this.thread).join();
	}

	// faults

	void setAnswerDelay(long millis) {
		this.thread.execute(() -> this.answerDelayMillis = millis);
	}

	void setHoldBack(long millis) {
		this.thread.execute(() -> this.holdBackMillis = millis);
	}

	void setCut(boolean cut) {
		this.thread.execute(() -> {
			this.isCut = cut;
			if (!cut) {
				this.cutOff.forEach(HttpExchange::close);
				this.cutOff.clear();
			}
		});
	}

	// announcements

	private void announce() {
		if (this.isCut) {
			return;
		}
		this.sequence++;
		announce(JsonServer.JSON.valueToTree(Map.ofEntries(Map.entry("service", RunnerPlan.SERVICE),
				Map.entry("machine", this.plan.machine()),
				Map.entry("address", this.plan.host() + ":" + RunnerPlan.PORT), Map.entry("zone", RunnerPlan.ZONE),
				Map.entry("version", "v1"), Map.entry("slots", 8), Map.entry("state", "ready"),
				Map.entry("coldRemainingMs", 0), Map.entry("capacity", RunnerPlan.CAPACITY),
				Map.entry("labels", RunnerPlan.LABELS), Map.entry("clockMs", clockMillis()),
				Map.entry("born", this.bornWallMillis), Map.entry("sequence", this.sequence))),
				this.plan.members().size());
	}

	private void announce(JsonNode body, int attempts) {
		URI address = URI.create("http://%s/api/instances/%s"
			.formatted(this.plan.members().get(this.member % this.plan.members().size()), this.plan.id()));
		HttpRequest request = HttpRequest.newBuilder(address)
			.timeout(Duration.ofMillis(ANSWER_MILLIS))
			.header("Content-Type", "application/json")
			.PUT(HttpRequest.BodyPublishers.ofString(body.toString()))
			.build();
		this.client.sendAsync(request, HttpResponse.BodyHandlers.discarding()).whenComplete((answer, failure) -> {
			if ((failure != null || answer.statusCode() / 100 != 2) && !this.thread.isShutdown()) {
				this.thread.execute(() -> {
					this.member++;
					if (attempts > 1) {
						announce(body, attempts - 1);
					}
				});
			}
		});
	}

	// orders

	private void onRequest(HttpExchange exchange, JsonNode body) {
		if (this.isCut) {
			this.cutOff.add(exchange);
		}
		else if (this.holdBackMillis > 0 && !exchange.getRequestURI().getPath().equals("/api/hold")) {
			long heldMillis = this.holdBackMillis;
			this.thread.schedule(() -> execute(exchange, body, heldMillis), heldMillis, TimeUnit.MILLISECONDS);
		}
		else {
			execute(exchange, body, 0);
		}
	}

	private void execute(HttpExchange exchange, JsonNode body, long lateMillis) {
		String expected = exchange.getRequestHeaders().getFirst("X-Expected-Instance");
		long token = body.path("fencingToken").asLong();
		if (expected != null && !expected.equals(this.plan.id())) {
			answer(exchange, 421, Map.of());
		}
		else if (token < this.fencingToken) {
			refuse(exchange, "fence");
		}
		else {
			this.fencingToken = token;
			switch (exchange.getRequestURI().getPath()) {
				case "/api/run-start" -> start(exchange, body, lateMillis);
				case "/api/run-stop" -> stop(exchange, body);
				case "/api/hold" -> hold(exchange, body);
				default -> answer(exchange, 200, Map.of("clockMs", clockMillis()));
			}
		}
	}

	private void start(HttpExchange exchange, JsonNode body, long lateMillis) {
		String task = body.path("task").asText();
		int run = body.path("run").asInt();
		if (body.path("deadlineMs").asLong() <= clockMillis()) {
			refuse(exchange, "late");
			return;
		}
		extendLease(body);
		Optional<Work> known = Optional.ofNullable(this.running.get(task));
		if (known.filter((work) -> work.run == run).isPresent()) {
			answer(exchange, 200, Map.of("clockMs", clockMillis()));
		}
		else if (known.isPresent() || this.closedRuns.getOrDefault(task, 0) >= run) {
			refuse(exchange, "old");
		}
		else {
			Work work = new Work(task, run, body.path("fencingToken").asLong(), lateMillis);
			this.running.put(task, work);
			endAfter(work, body.path("specification").asLong(), RunRecord.RunEnd.DONE);
			answer(exchange, 200, Map.of("clockMs", clockMillis()));
		}
	}

	private void stop(HttpExchange exchange, JsonNode body) {
		String task = body.path("task").asText();
		int run = body.path("run").asInt();
		this.closedRuns.merge(task, run, Math::max);
		Optional.ofNullable(this.running.get(task))
			.filter((work) -> work.run <= run)
			.ifPresent((work) -> endAfter(work, STOP_MILLIS, RunRecord.RunEnd.STOPPED));
		answer(exchange, 200, Map.of("clockMs", clockMillis()));
	}

	private void hold(HttpExchange exchange, JsonNode body) {
		extendLease(body);
		long acknowledged = body.path("ackCursor").asLong();
		long nowNanos = System.nanoTime();
		this.ended.stream().filter((work) -> work.number <= acknowledged).forEach((work) -> {
			work.acknowledgedNanos = Optional.of(nowNanos);
			this.records.add(work.record(work.endNanos, work.end));
		});
		this.ended.removeIf((work) -> work.number <= acknowledged);
		long waitMillis = body.path("waitMs").asLong();
		if (this.lastEnd > this.lastListedEnd || waitMillis == 0) {
			list(exchange);
		}
		else {
			this.waiting.add(exchange);
			this.thread.schedule(() -> {
				if (this.waiting.remove(exchange)) {
					list(exchange);
				}
			}, waitMillis, TimeUnit.MILLISECONDS);
		}
	}

	private void list(HttpExchange exchange) {
		this.lastListedEnd = this.lastEnd;
		List<Object> runs = new ArrayList<>();
		this.running.values().forEach((work) -> runs.add(List.of(work.task, work.run, "", 50, 0)));
		List<Object> ends = new ArrayList<>();
		this.ended.stream()
			.limit(MAXIMUM_LISTED_ENDS)
			.forEach((work) -> ends
				.add(List.of(work.number, work.task, work.run, work.end.orElseThrow().wireName(), "")));
		answer(exchange, 200,
				Map.of("clockMs", clockMillis(), "born", this.bornWallMillis, "running", runs, "endedRuns", ends));
	}

	private void refuse(HttpExchange exchange, String reason) {
		answer(exchange, 409, Map.of("clockMs", clockMillis(), "reason", reason));
	}

	private void answer(HttpExchange exchange, int status, Map<String, Object> body) {
		if (this.isCut) {
			this.cutOff.add(exchange);
		}
		else if (this.answerDelayMillis > 0) {
			this.thread.schedule(() -> JsonServer.answer(exchange, status, body), this.answerDelayMillis,
					TimeUnit.MILLISECONDS);
		}
		else {
			JsonServer.answer(exchange, status, body);
		}
	}

	// work and its lease

	private void extendLease(JsonNode body) {
		long deadline = Math.min(body.path("deadlineMs").asLong(), clockMillis() + MAXIMUM_LEASE_MILLIS);
		if (deadline > this.deadlineMillis) {
			this.deadlineMillis = deadline;
			this.thread.schedule(() -> onDeadline(deadline), deadline - clockMillis() + 1, TimeUnit.MILLISECONDS);
		}
	}

	private void onDeadline(long deadline) {
		if (deadline == this.deadlineMillis) {
			long endNanos = this.bornNanos + TimeUnit.MILLISECONDS.toNanos(deadline - FIRST_CLOCK_MILLIS);
			List.copyOf(this.running.values()).forEach((work) -> end(work, endNanos, RunRecord.RunEnd.LAPSED));
		}
	}

	private void endAfter(Work work, long millis, RunRecord.RunEnd how) {
		long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		this.thread.schedule(() -> end(work, endNanos, how), millis, TimeUnit.MILLISECONDS);
	}

	private void end(Work work, long endNanos, RunRecord.RunEnd how) {
		if (!this.running.remove(work.task, work)) {
			return;
		}
		this.closedRuns.merge(work.task, work.run, Math::max);
		this.lastEnd++;
		work.number = this.lastEnd;
		work.endNanos = endNanos;
		work.end = Optional.of(how);
		this.ended.add(work);
		if (!this.waiting.isEmpty()) {
			List<HttpExchange> answered = List.copyOf(this.waiting);
			this.waiting.clear();
			answered.forEach(this::list);
		}
	}

	private long clockMillis() {
		return FIRST_CLOCK_MILLIS + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.bornNanos);
	}

	/** A run of this incarnation. */
	private final class Work {

		private final String task;

		private final int run;

		private final long token;

		private final long lateMillis;

		private final long startNanos = System.nanoTime();

		private long number;

		private long endNanos;

		private Optional<RunRecord.RunEnd> end = Optional.empty();

		private Optional<Long> acknowledgedNanos = Optional.empty();

		Work(String task, int run, long token, long lateMillis) {
			this.task = task;
			this.run = run;
			this.token = token;
			this.lateMillis = lateMillis;
		}

		RunRecord record(long untilNanos, Optional<RunRecord.RunEnd> how) {
			return new RunRecord(this.task, this.run, StandInRunner.this.plan.id(), StandInRunner.this.bornWallMillis,
					this.token, this.lateMillis, this.startNanos, untilNanos, how, this.acknowledgedNanos);
		}

	}

	/**
	 * Where a runner is and whom it reports to. Immutable.
	 *
	 * @param id its identifier
	 * @param machine its machine
	 * @param host its address
	 * @param members addresses of the control members
	 */
	record RunnerPlan(String id, String machine, String host, List<String> members) {

		static final int PORT = 8080;

		static final String SERVICE = "soaked";

		static final String ZONE = "zone-1";

		static final List<String> LABELS = List.of("a", "r1-1");

		static final Map<String, Object> CAPACITY = Map.of("cpu", 16_000, "memMb", 32_768, "gpu", 0);

	}

}
