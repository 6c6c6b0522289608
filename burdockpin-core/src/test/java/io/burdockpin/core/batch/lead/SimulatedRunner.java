package io.burdockpin.core.batch.lead;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;

import io.burdockpin.core.batch.lead.run.RunnerOrder;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.model.Resources;

/**
 * Simulates a runner in virtual time with leases on its own clock, fencing, and listings
 * of active and ended runs.
 */
public final class SimulatedRunner {

	public static final Resources CAPACITY = new Resources(8_000, 16_384, 0);

	/** Specification of tasks that run until they are stopped. */
	static final String ENDLESS = "endless";

	private static final int STOP_MILLIS = 100;

	private static final int CHECKPOINT_MILLIS = 200;

	/** Less than runners list in fact, so that lists are full more often. */
	private static final int MAXIMUM_LISTED_ENDS = 20;

	private final RandomGenerator random;

	private final String id;

	private final String pool;

	private String dataCentre = "dc1";

	private final double clockRate;

	private long startMillis;

	private long leaseEndMillis;

	private long highestFencingToken;

	private long lastEnd;

	private boolean up = true;

	private boolean ignoresLease;

	private boolean namesOnlyIdentifier;

	private final Map<TaskId, Execution> running = new LinkedHashMap<>();

	private final Map<TaskId, Integer> highestClosedRun = new HashMap<>();

	private final List<BatchCommand.End> ends = new ArrayList<>();

	private final Map<Long, Long> endedMillis = new HashMap<>();

	private Observer observer = Observer.NONE;

	/**
	 * Ends that were not acknowledged when the lease expired, and therefore do not count.
	 */
	private final Set<Long> voidEnds = new HashSet<>();

	public SimulatedRunner(String id, String pool, RandomGenerator random, long nowMillis) {
		this.id = id;
		this.pool = pool;
		this.random = random;
		this.clockRate = 0.98 + 0.04 * random.nextDouble();
		this.startMillis = nowMillis;
	}

	public RunnerRecord announce() {
		return new RunnerRecord(new RunnerKey(this.id, this.startMillis), Optional.of("host-" + this.id), this.pool,
				"127.0.0.1:1", this.dataCentre, Optional.of("rack-1"), CAPACITY, Set.of("a", "rack-1"), false);
	}

	public void placeIn(String newDataCentre) {
		this.dataCentre = newDataCentre;
	}

	public void observe(Observer newObserver) {
		this.observer = newObserver;
	}

	/** Returns the number of ends before a time that are not acknowledged. */
	public long unacknowledgedCount(long beforeMillis) {
		return this.ends.stream().filter((end) -> this.endedMillis.get(end.number()) < beforeMillis).count();
	}

	public boolean isUp() {
		return this.up;
	}

	public Map<TaskId, Execution> running() {
		return this.running;
	}

	/** Lets tasks continue after the lease has expired, and makes them long. */
	public void ignoreLease() {
		this.ignoresLease = true;
	}

	/** Lets the condition of an order name the runner and not its incarnation. */
	public void nameOnlyIdentifier() {
		this.namesOnlyIdentifier = true;
	}

	public void crash() {
		this.up = false;
		this.running.clear();
	}

	public void restart(long nowMillis) {
		this.up = true;
		this.startMillis = nowMillis;
		this.leaseEndMillis = 0;
		this.highestFencingToken = 0;
		this.lastEnd = 0;
		this.running.clear();
		this.highestClosedRun.clear();
		this.ends.clear();
		this.endedMillis.clear();
		this.voidEnds.clear();
	}

	public boolean isVoid(RunnerKey key, BatchCommand.End end) {
		return key.bornMillis() != this.startMillis || this.voidEnds.contains(end.number());
	}

	public long clockMillis(long nowMillis) {
		return (long) ((nowMillis - this.startMillis) * this.clockRate);
	}

	/** Ends the runs that are due, or all runs if the lease has expired. */
	public void advance(long nowMillis) {
		boolean leaseExpired = !this.ignoresLease && clockMillis(nowMillis) >= this.leaseEndMillis;
		if (leaseExpired) {
			this.ends.forEach((end) -> this.voidEnds.add(end.number()));
		}
		List.copyOf(this.running.entrySet()).forEach((entry) -> {
			Execution execution = entry.getValue();
			if (leaseExpired) {
				end(entry.getKey(), execution.run(), RunOutcome.LAPSED, nowMillis);
			}
			else if (nowMillis >= execution.endMillis()) {
				end(entry.getKey(), execution.run(), execution.outcome(), execution.endMillis());
			}
		});
	}

	public RunnerReply handle(RunnerOrder order, RunnerKey expected, long nowMillis) {
		advance(nowMillis);
		if (!this.namesOnlyIdentifier && expected.bornMillis() != this.startMillis) {
			return refuse(RunnerReply.Refusal.OTHER_INCARNATION, nowMillis);
		}
		if (order.fencingToken() < this.highestFencingToken) {
			return refuse(RunnerReply.Refusal.FENCED, nowMillis);
		}
		this.highestFencingToken = order.fencingToken();
		if (order instanceof RunnerOrder.Start start) {
			return start(start, nowMillis);
		}
		if (order instanceof RunnerOrder.Stop stop) {
			return stop(stop, nowMillis);
		}
		return list((RunnerOrder.Heartbeat) order, nowMillis);
	}

	private RunnerReply start(RunnerOrder.Start start, long nowMillis) {
		if (start.leaseEndMillis() <= clockMillis(nowMillis)) {
			return refuse(RunnerReply.Refusal.LEASE_EXPIRED, nowMillis);
		}
		this.leaseEndMillis = Math.max(this.leaseEndMillis, start.leaseEndMillis());
		Execution known = this.running.get(start.task());
		if (known != null && known.run() == start.run()) {
			return new RunnerReply.Accepted(clockMillis(nowMillis));
		}
		if (start.run() <= this.highestClosedRun.getOrDefault(start.task(), 0)) {
			return refuse(RunnerReply.Refusal.OUTDATED, nowMillis);
		}
		this.observer.onStart(this, start);
		RunOutcome outcome = (this.random.nextInt(12) == 0) ? RunOutcome.FAILED : RunOutcome.DONE;
		long endMillis = start.specification().equals(ENDLESS) ? Long.MAX_VALUE : nowMillis + workMillis();
		this.running.put(start.task(), new Execution(start.run(), endMillis, outcome));
		return new RunnerReply.Accepted(clockMillis(nowMillis));
	}

	private long workMillis() {
		return this.ignoresLease ? 20_000 : 100 + this.random.nextInt(1_200);
	}

	private RunnerReply stop(RunnerOrder.Stop stop, long nowMillis) {
		this.highestClosedRun.merge(stop.task(), stop.run(), Math::max);
		Execution known = this.running.get(stop.task());
		if (known != null && known.run() == stop.run()) {
			this.running.put(stop.task(), new Execution(stop.run(),
					Math.min(known.endMillis(), nowMillis + STOP_MILLIS), RunOutcome.STOPPED));
		}
		return new RunnerReply.Accepted(clockMillis(nowMillis));
	}

	private RunnerReply list(RunnerOrder.Heartbeat heartbeat, long nowMillis) {
		heartbeat.leaseEndMillis().ifPresent((end) -> this.leaseEndMillis = Math.max(this.leaseEndMillis, end));
		List<BatchCommand.End> acknowledged = this.ends.stream()
			.filter((end) -> end.number() <= heartbeat.acknowledgedEnd())
			.toList();
		acknowledged.stream()
			.filter((end) -> end.outcome().isDone() && !this.voidEnds.contains(end.number()))
			.forEach((end) -> this.observer.onAcknowledged(end.task(), this.endedMillis.get(end.number())));
		this.ends.removeAll(acknowledged);
		List<RunnerReply.RunningTask> listed = this.running.entrySet()
			.stream()
			.map((entry) -> new RunnerReply.RunningTask(entry.getKey(), entry.getValue().run(),
					checkpoint(entry.getKey(), entry.getValue().run(), nowMillis), entry.getValue().percent(),
					OptionalInt.empty()))
			.toList();
		return new RunnerReply.Listing(clockMillis(nowMillis), OptionalLong.of(this.startMillis), listed,
				this.ends.subList(0, Math.min(this.ends.size(), MAXIMUM_LISTED_ENDS)),
				this.ends.size() <= MAXIMUM_LISTED_ENDS);
	}

	private void end(TaskId task, int run, RunOutcome outcome, long atMillis) {
		this.running.remove(task);
		this.highestClosedRun.merge(task, run, Math::max);
		this.lastEnd++;
		this.endedMillis.put(this.lastEnd, atMillis);
		this.ends.add(new BatchCommand.End(this.lastEnd, task, run, outcome,
				outcome.isDone() ? "" : checkpoint(task, run, atMillis)));
	}

	private static String checkpoint(TaskId task, int run, long atMillis) {
		return "%d of run %d at %d".formatted(task.index(), run, atMillis / CHECKPOINT_MILLIS);
	}

	private RunnerReply refuse(RunnerReply.Refusal refusal, long nowMillis) {
		return new RunnerReply.Refused(refusal, OptionalLong.of(clockMillis(nowMillis)));
	}

	/** Active run. */
	public record Execution(int run, long endMillis, RunOutcome outcome) {

		// A task that runs until it is stopped has started up completely.
		private int percent() {
			return (this.endMillis == Long.MAX_VALUE) ? 100 : 50;
		}

	}

	/** Observes what the leader does to the runner. */
	public interface Observer {

		Observer NONE = new Observer() {
		};

		default void onStart(SimulatedRunner runner, RunnerOrder.Start start) {
		}

		default void onAcknowledged(TaskId task, long endedMillis) {
		}

	}

}
