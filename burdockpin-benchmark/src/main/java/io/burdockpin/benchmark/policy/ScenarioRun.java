package io.burdockpin.benchmark.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.placement.FleetView;
import io.burdockpin.core.placement.JobIndex;
import io.burdockpin.core.placement.ReconciliationResult;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.JobCommand;

/**
 * Runs one policy through one scenario in virtual time. Mutable, used by one thread. The
 * same scenario and policy give the same run.
 */
public final class ScenarioRun {

	/** Period of placement rounds and of the batches of reports. */
	static final long STEP_MILLIS = 250;

	private static final long REPORT_PERIOD_STEPS = 4;

	private static final long MAINTENANCE_PERIOD_STEPS = 4;

	private final Scenario scenario;

	private final Policy policy;

	private final Fleet fleet;

	private final Map<JobId, JobTruth> truths = new HashMap<>();

	private final Map<HostName, VirtualWorker> workers = new LinkedHashMap<>();

	private final List<QueueDemand> queues = new ArrayList<>();

	private final List<StepListener> listeners = new ArrayList<>();

	private final Incidents incidents;

	private final Measures measures;

	private JobIndex jobs = JobIndex.of(List.of());

	private long nowMillis;

	/**
	 * Prepares a run.
	 * @param scenario what happens
	 * @param kind the policy
	 * @param policy the decisions, usually created by the kind
	 */
	public ScenarioRun(Scenario scenario, PolicyKind kind, Policy policy) {
		this.scenario = scenario;
		this.policy = policy;
		this.fleet = Fleet.of(scenario.firm());
		SplittableRandom random = new SplittableRandom(scenario.seed());
		scenario.firm()
			.hosts()
			.forEach((host) -> this.workers.put(host.spec().name(), new VirtualWorker(host.spec(), this.truths::get)));
		addQueues(random);
		this.incidents = new Incidents(this, kind, random.split());
		this.measures = new Measures(this);
		this.fleet.addListener(this.measures);
	}

	// life cycle

	/**
	 * Adds a listener that is called after every step.
	 * @param listener the listener
	 */
	public void addListener(StepListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Runs to the end.
	 * @return what was measured
	 */
	public RunResult run() {
		long steps = this.scenario.durationMillis() / STEP_MILLIS;
		for (long step = 0; step < steps; step++) {
			runStep(step);
		}
		return this.measures.toResult();
	}

	// access

	/**
	 * Returns the replicated state.
	 * @return the fleet
	 */
	public Fleet fleet() {
		return this.fleet;
	}

	/**
	 * Returns the workers.
	 * @return the workers by host
	 */
	public Map<HostName, VirtualWorker> workers() {
		return this.workers;
	}

	/**
	 * Returns the virtual time.
	 * @return milliseconds since the start
	 */
	public long nowMillis() {
		return this.nowMillis;
	}

	Scenario scenario() {
		return this.scenario;
	}

	Optional<JobTruth> truth(JobId job) {
		return Optional.ofNullable(this.truths.get(job));
	}

	void restartLeader() {
		this.policy.restart();
	}

	// helpers

	private void addQueues(SplittableRandom random) {
		List<PoolName> pools = this.scenario.firm().pools();
		List<TeamSpec> teams = this.scenario.firm().teams();
		int queueCount = Math.max(teams.size(), 2 * pools.size());
		double fleetMillicores = (double) this.scenario.firm().hostCapacity().cpuMillicores()
				* this.scenario.firm().hosts().stream().filter((host) -> !host.pool().equals(Firm.SPARE_POOL)).count();
		double meanMillicores = fleetMillicores * this.scenario.loadPart() / queueCount;
		for (int number = 0; number < queueCount; number++) {
			// Consecutive queues share a pool, so that different teams compete for it.
			PoolName pool = pools.get(number * pools.size() / queueCount);
			this.queues.add(new QueueDemand(teams.get(number % teams.size()).name(), pool, number,
					this.scenario.firm().hostCapacity(), meanMillicores, random.split()));
		}
	}

	private void runStep(long step) {
		long fromMillis = this.nowMillis;
		this.nowMillis += STEP_MILLIS;
		this.incidents.apply(this.nowMillis);
		submitArrivals(fromMillis);
		exchangeReports(fromMillis, step);
		plan(step);
		this.measures.sample(step);
		this.listeners.forEach((listener) -> listener.afterStep(this));
	}

	private void submitArrivals(long fromMillis) {
		for (QueueDemand queue : this.queues) {
			for (JobTruth job : queue.arrivals(fromMillis, this.nowMillis, Scenario.TURN_MILLIS)) {
				this.truths.put(job.job(), job);
				this.measures.submitted(job, this.nowMillis);
				apply(new JobCommand.SubmitJob(job.job(), job.spec()));
			}
		}
	}

	private void exchangeReports(long fromMillis, long step) {
		long number = 0;
		for (VirtualWorker worker : this.workers.values()) {
			if (worker.isUp()) {
				worker.advance(fromMillis, this.nowMillis);
				boolean reports = (step + number) % REPORT_PERIOD_STEPS == 0;
				if (reports && this.incidents.isReachable(worker.host())) {
					exchangeReport(worker);
				}
			}
			number++;
		}
	}

	private void exchangeReport(VirtualWorker worker) {
		worker.receiveOrders(this.nowMillis).forEach((job) -> this.measures.started(job, this.nowMillis));
		WorkerReport report = worker.report(this.nowMillis);
		ReconciliationResult answer = this.policy.answer(report, this.jobs, this.nowMillis);
		answer.commands().forEach(this::apply);
		worker.answer(answer.order());
	}

	private void plan(long step) {
		if (step % MAINTENANCE_PERIOD_STEPS == 0) {
			FleetView view = this.fleet.view();
			this.policy.maintain(view, JobIndex.of(view.jobs()), this.nowMillis).forEach(this::apply);
		}
		FleetView view = this.fleet.view();
		this.jobs = JobIndex.of(view.jobs());
		this.policy.place(view, this.jobs, this.nowMillis).forEach(this::apply);
	}

	private void apply(Command command) {
		this.fleet.apply(command, this.nowMillis);
	}

	/** Called after each step. */
	@FunctionalInterface
	public interface StepListener {

		/**
		 * Takes the state after a step.
		 * @param run the run
		 */
		void afterStep(ScenarioRun run);

	}

}
