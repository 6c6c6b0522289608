package io.burdockpin.core.batch.lead.wave;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import io.burdockpin.core.batch.lead.host.HandOverPause;
import io.burdockpin.core.batch.lead.host.HostOrder;
import io.burdockpin.core.batch.lead.host.HostOrderHistory;
import io.burdockpin.core.batch.lead.host.HostOrderTracker;
import io.burdockpin.core.batch.lead.host.HostReply;
import io.burdockpin.core.batch.lead.run.RunnerSession;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.MaintenancePhase;
import io.burdockpin.core.batch.state.Run;
import io.burdockpin.core.batch.state.StepTasks;
import io.burdockpin.core.batch.state.WaveProgress;

/**
 * Takes the hosts of maintenance waves through draining, maintenance and return. Limits
 * the number of hosts that are down at a time and keeps to the availability budgets of
 * long-running steps. Not thread-safe; owned by the leader.
 */
public final class WaveController {

	private final BatchState state;

	private final WaveSettings settings;

	private final long fencingToken;

	private final long electedMillis;

	private final HostOrderTracker orders;

	private final DisruptionBudget budget = new DisruptionBudget();

	/** Drains by host. Draining hosts get no new tasks. */
	private final Map<String, Drain> draining = new LinkedHashMap<>();

	private final Map<String, Long> begunMillis = new HashMap<>();

	/** Proposed phases that are not committed yet. */
	private final Map<HostInWave, MaintenancePhase> proposedPhases = new HashMap<>();

	private final List<BatchCommand> proposals = new ArrayList<>();

	/**
	 * Creates a controller.
	 * @param state replicated state
	 * @param settings settings of maintenance waves
	 * @param history changes of host orders, including those of earlier leaders
	 * @param fencingToken term of this leader
	 * @param electedMillis monotonic time at which this leader was elected
	 */
	public WaveController(BatchState state, WaveSettings settings, HostOrderHistory history, long fencingToken,
			long electedMillis) {
		this.state = state;
		this.settings = settings;
		this.fencingToken = fencingToken;
		this.electedMillis = electedMillis;
		this.orders = new HostOrderTracker(new HandOverPause(history, settings.handOverPauseMillis(), electedMillis),
				settings.retryMillis());
	}

	/**
	 * Checks whether a host is being drained or its maintenance is ordered.
	 * @param host name of the host
	 * @return {@code true} if the host gets no new tasks
	 */
	public boolean isDraining(String host) {
		return this.draining.containsKey(host) || isMaintenanceOrdered(host);
	}

	/**
	 * Returns and clears the proposed commands.
	 * @return commands to commit, in order
	 */
	public List<BatchCommand> drainProposals() {
		List<BatchCommand> drained = List.copyOf(this.proposals);
		this.proposals.clear();
		return drained;
	}

	/**
	 * Returns and clears the orders to send.
	 * @return orders to send
	 */
	public List<HostOrder> drainOrders() {
		return this.orders.drainOrders();
	}

	/**
	 * Advances all waves that are not completed.
	 * @param sessions sessions with the runners
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void tick(Map<RunnerKey, RunnerSession> sessions, long nowMillis) {
		this.state.waves()
			.values()
			.stream()
			.filter((wave) -> !wave.isCompleted())
			.forEach((wave) -> advance(wave, sessions, nowMillis));
	}

	/**
	 * Handles a committed change of a maintenance phase.
	 * @param command committed command
	 */
	public void onMaintenanceCommitted(BatchCommand.SetUpkeep command) {
		this.proposedPhases.remove(new HostInWave(command.wave(), command.host()), command.phase());
	}

	/**
	 * Handles the reply to an order.
	 * @param order order that was sent
	 * @param reply reply, or the reason why there is none
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void onReply(HostOrder.Maintenance order, HostReply reply, long nowMillis) {
		this.orders.onReply(order.host(), reply, nowMillis);
		switch (reply) {
			case DONE -> {
				this.begunMillis.put(order.host(), nowMillis);
				// The maintenance ended the runner, so the leader stops contacting it.
				Optional.ofNullable(this.state.waves().get(order.wave()))
					.flatMap((wave) -> Optional.ofNullable(wave.orderedIncarnations().get(order.host())))
					.ifPresent((incarnation) -> this.proposals.add(new BatchCommand.RemoveRunner(incarnation)));
				propose(order.wave(), order.host(), MaintenancePhase.BEGUN);
			}
			case HOST_NOT_UP -> propose(order.wave(), order.host(), MaintenancePhase.PENDING);
			case UNKNOWN_HOST -> propose(order.wave(), order.host(), MaintenancePhase.GONE);
			default -> {
				// The order may have been carried out, so it is sent again.
			}
		}
	}

	private void advance(WaveProgress wave, Map<RunnerKey, RunnerSession> sessions, long nowMillis) {
		wave.hosts().forEach((host, phase) -> {
			if (phase == MaintenancePhase.ORDERED) {
				sendIfDue(wave, host, sessions, nowMillis);
			}
			else if (phase == MaintenancePhase.BEGUN && hasReturned(wave, host, sessions, nowMillis)) {
				propose(wave.wave().number(), host, MaintenancePhase.DONE);
			}
		});
		drainingHosts(wave).forEach((host) -> drain(wave, host, sessions, nowMillis));
		startDrains(wave, nowMillis);
	}

	private List<String> drainingHosts(WaveProgress wave) {
		return wave.hosts().keySet().stream().filter((host) -> isDrainingFor(wave, host)).toList();
	}

	private boolean isDrainingFor(WaveProgress wave, String host) {
		return Optional.ofNullable(this.draining.get(host))
			.filter((drain) -> drain.wave() == wave.wave().number())
			.isPresent();
	}

	// A maintenance counts for the wave that ordered it, so a host that is in several
	// waves is maintained for one after the other.
	private boolean isDownForOther(WaveProgress wave, String host) {
		return this.state.waves()
			.values()
			.stream()
			.filter((other) -> other != wave)
			.map((other) -> other.hosts().get(host))
			.anyMatch((phase) -> phase != null && phase.isDown());
	}

	private void startDrains(WaveProgress wave, long nowMillis) {
		List<String> drained = drainingHosts(wave);
		int freeSlots = Math.max(0, wave.wave().maximumDown() - wave.downCount() - drained.size());
		int slowDrains = (int) drained.stream().filter(this::hasLongRunning).count();
		List<String> pending = wave.hosts()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() == MaintenancePhase.PENDING
					&& !this.draining.containsKey(entry.getKey()))
			.map(Map.Entry::getKey)
			.filter((host) -> this.orders.canBegin(host, nowMillis) && !isDownForOther(wave, host))
			.sorted(Comparator.comparingInt(this::reservedMillicores))
			.toList();
		int slowSlots = Math.max(0, (wave.wave().maximumDown() + 1) / 2 - slowDrains);
		Stream<String> slowFirst = pending.stream().filter(this::hasLongRunning).limit(slowSlots);
		Stream.concat(slowFirst, pending.stream())
			.distinct()
			.limit(freeSlots)
			.toList()
			.forEach((host) -> this.draining.put(host, new Drain(wave.wave().number(), nowMillis)));
	}

	// The long-running tasks of a step stop one after the other, within its availability
	// budget, so that their hosts take longest to drain.
	private boolean hasLongRunning(String host) {
		return this.state.runnerOn(host).filter((runner) -> this.state.runs().hasLongRunning(runner.key())).isPresent();
	}

	private boolean hasRuns(String host) {
		return this.state.runnerOn(host).filter((runner) -> !this.state.runs().on(runner.key()).isEmpty()).isPresent();
	}

	private int reservedMillicores(String host) {
		return this.state.runnerOn(host)
			.map((runner) -> this.state.runs().reservedOn(runner.key()).cpuMillicores())
			.orElse(0);
	}

	private void drain(WaveProgress wave, String host, Map<RunnerKey, RunnerSession> sessions, long nowMillis) {
		if (wave.hosts().get(host) != MaintenancePhase.PENDING) {
			this.draining.remove(host);
			return;
		}
		Optional<RunnerRecord> runner = this.state.runnerOn(host);
		if (this.state.moves().containsKey(host)) {
			return;
		}
		Collection<Run> runs = runner.map((known) -> this.state.runs().on(known.key())).orElse(List.of());
		if (runs.isEmpty()) {
			this.orders.begin(host);
			propose(wave.wave().number(), host, MaintenancePhase.ORDERED);
			return;
		}
		RunnerSession session = sessions.get(runner.get().key());
		boolean isOverdue = nowMillis - this.draining.get(host).startedMillis() >= this.settings.drainTimeoutMillis();
		runs.forEach((run) -> {
			if (session != null && canStop(run, sessions, isOverdue, nowMillis)) {
				session.stop(run.task());
			}
		});
	}

	private boolean canStop(Run run, Map<RunnerKey, RunnerSession> sessions, boolean isOverdue, long nowMillis) {
		Optional<StepTasks> step = this.state.step(run.task());
		if (step.isEmpty()) {
			return true;
		}
		if (!step.get().spec().longRunning()) {
			return isOverdue;
		}
		return this.budget.permitsStop(run, step.get(), sessions, nowMillis);
	}

	private void sendIfDue(WaveProgress wave, String host, Map<RunnerKey, RunnerSession> sessions, long nowMillis) {
		this.draining.remove(host);
		if (!this.orders.isSent(host) && canCancel(host, sessions, nowMillis)) {
			// A task was assigned to the host before its maintenance was committed.
			propose(wave.wave().number(), host, MaintenancePhase.PENDING);
			return;
		}
		this.orders.sendIfDue(new HostOrder.Maintenance(this.fencingToken, host, wave.wave().number()), nowMillis);
	}

	// An earlier leader may have sent its order. If the runner is still responsive when
	// the order could be sent again, the order was not carried out.
	private boolean canCancel(String host, Map<RunnerKey, RunnerSession> sessions, long nowMillis) {
		boolean isKnownUnsent = this.orders.isOwn(host)
				|| (this.orders.canResend(host, nowMillis) && this.state.runnerOn(host)
					.map((runner) -> sessions.get(runner.key()))
					.filter((session) -> session.isResponsive(nowMillis))
					.isPresent());
		return isKnownUnsent && hasRuns(host);
	}

	private boolean hasReturned(WaveProgress wave, String host, Map<RunnerKey, RunnerSession> sessions,
			long nowMillis) {
		long sinceBegunMillis = nowMillis - this.begunMillis.getOrDefault(host, this.electedMillis);
		Optional<RunnerKey> before = Optional.ofNullable(wave.orderedIncarnations().get(host));
		Optional<RunnerKey> present = this.state.runnerOn(host).map(RunnerRecord::key);
		if (present.isEmpty()) {
			// The host was powered off, or its runner is lost and must not hold up the
			// maintenance of the others.
			long maintenanceMillis = before.isPresent() ? this.settings.minimumMaintenanceMillis() : 0;
			return sinceBegunMillis >= maintenanceMillis + this.settings.returnTimeoutMillis();
		}
		return present.filter((incarnation) -> sinceBegunMillis >= this.settings.minimumMaintenanceMillis())
			.filter((incarnation) -> !before.equals(Optional.of(incarnation)))
			.map(sessions::get)
			.filter((session) -> session.isResponsive(nowMillis))
			.isPresent();
	}

	private boolean isMaintenanceOrdered(String host) {
		return this.state.waves()
			.values()
			.stream()
			.map((wave) -> wave.hosts().get(host))
			.anyMatch((phase) -> phase == MaintenancePhase.ORDERED);
	}

	private void propose(long wave, String host, MaintenancePhase phase) {
		if (this.proposedPhases.put(new HostInWave(wave, host), phase) != phase) {
			this.proposals.add(new BatchCommand.SetUpkeep(wave, host, phase));
		}
	}

	private record Drain(long wave, long startedMillis) {

	}

	private record HostInWave(long wave, String host) {

	}

}
