package io.burdockpin.control.replica;

import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.burdockpin.core.consensus.ReplicaStatus;
import io.burdockpin.core.consensus.Role;
import io.burdockpin.core.measure.FleetMeasures;
import io.burdockpin.core.state.FleetState;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.runtime.metric.Metric;
import io.burdockpin.runtime.metric.MetricRegistry;

/** Records the metrics of the replica. Immutable; used by the replica actor. */
final class ControlMetrics {

	private static final double MILLI_UNITS_PER_UNIT = 1000;

	private final MetricRegistry registry;

	ControlMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	void countElection() {
		this.registry.increment(Metric.ELECTIONS);
	}

	void record(ReplicaStatus status, boolean majorityReachable, FleetStateMachine machine) {
		FleetState state = machine.state();
		this.registry.record(Metric.TERM, status.term());
		this.registry.record(Metric.LEADER, (status.role() == Role.LEADER) ? 1 : 0);
		this.registry.record(Metric.COMMIT_INDEX, status.commitIndex());
		this.registry.record(Metric.APPLIED_INDEX, machine.appliedIndex());
		this.registry.record(Metric.CONFIGURATION_INDEX, state.configurationIndex());
		this.registry.record(Metric.MAJORITY_REACHABLE, majorityReachable ? 1 : 0);
		recordJobs(state);
		recordHosts(state);
	}

	/**
	 * Counts the job moves that a command caused. Called on the leader only.
	 * @param applied the command
	 * @param state the state after the command
	 */
	void countMoves(AppliedCommand applied, FleetState state) {
		applied.jobBefore()
			.filter((before) -> applied.isChange())
			.flatMap((before) -> state.job(before.id()).map((after) -> after.moveCount() - before.moveCount()))
			.filter((moves) -> moves > 0)
			.ifPresent((moves) -> this.registry.record(Metric.JOB_MOVES, moves));
	}

	/**
	 * Records the measures of the fleet and clears the previous ones.
	 * @param measures the measures; empty if this member is not the leader
	 */
	void record(Optional<FleetMeasures> measures) {
		this.registry.clear(Metric.BUFFER);
		this.registry.clear(Metric.ROLLOUT);
		this.registry.clear(Metric.SHARE_DISTANCE);
		measures.ifPresent((found) -> {
			found.bufferMillicores()
				.forEach((pool, millicores) -> this.registry.record(Metric.BUFFER, millicores / MILLI_UNITS_PER_UNIT,
						pool.value()));
			found.rolloutMillis()
				.forEach((campaign, millis) -> this.registry.record(Metric.ROLLOUT, millis / MILLI_UNITS_PER_UNIT,
						campaign.value()));
			found.shareDistances()
				.forEach((team, distance) -> this.registry.record(Metric.SHARE_DISTANCE, distance, team.value()));
		});
	}

	private void recordJobs(FleetState state) {
		this.registry.clear(Metric.JOBS);
		state.jobs()
			.stream()
			.collect(Collectors.groupingBy(JobRecord::state, Collectors.counting()))
			.forEach((jobState, count) -> this.registry.record(Metric.JOBS, count, jobState.name()));
	}

	private void recordHosts(FleetState state) {
		this.registry.clear(Metric.HOSTS);
		Function<HostRecord, String> pool = (host) -> host.pool().value();
		state.hosts()
			.stream()
			.collect(Collectors.groupingBy(pool, Collectors.groupingBy(HostRecord::state, Collectors.counting())))
			.forEach((name, counts) -> counts
				.forEach((hostState, count) -> this.registry.record(Metric.HOSTS, count, name, hostState.name())));
	}

}
