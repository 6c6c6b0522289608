package io.burdockpin.core.placement;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.placement.WorkerLoad.PlacedJob;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.CampaignState;
import io.burdockpin.core.state.DrainRecord;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;

/**
 * Stops the jobs of draining hosts: repeatable jobs that would outlast the drain at once,
 * all others at the drain deadline. Stateless.
 * <p>
 * A job that has to move anyway is stopped early, because this shortens the drain and
 * loses no more work than a later stop. A campaign may list a host for one more round
 * after the host has returned to service; jobs on such a host are not stopped.
 */
final class DrainControl {

	private final UsageEstimator estimator;

	DrainControl(UsageEstimator estimator) {
		this.estimator = estimator;
	}

	/**
	 * Adds the stop orders that are due to the round.
	 * @param round the current placement round
	 */
	void apply(PlacementRound round) {
		Set<HostName> draining = drainingHosts(round.view());
		for (CampaignRecord campaign : round.view().campaigns()) {
			if (campaign.state() == CampaignState.CANCELLED) {
				continue;
			}
			for (DrainRecord drain : campaign.hostsOut()) {
				round.worker(drain.host())
					.filter((worker) -> draining.contains(worker.name()))
					.ifPresent((worker) -> stopJobs(round, worker, drain.drainDeadlineMillis()));
			}
		}
	}

	// helpers

	private static Set<HostName> drainingHosts(FleetView view) {
		Set<HostName> draining = new HashSet<>();
		for (HostRecord host : view.hosts()) {
			if (host.state() == HostState.DRAINING) {
				draining.add(host.name());
			}
		}
		return draining;
	}

	private void stopJobs(PlacementRound round, WorkerLoad worker, long deadlineMillis) {
		for (PlacedJob placed : worker.jobs()) {
			stopReason(placed, deadlineMillis, round.nowMillis())
				.ifPresent((reason) -> round.intervene(stopIntervention(worker, placed.job(), reason)));
		}
	}

	private Optional<String> stopReason(PlacedJob placed, long deadlineMillis, long nowMillis) {
		JobRecord job = placed.job();
		if (placed.stopping()) {
			return Optional.empty();
		}
		if (nowMillis >= deadlineMillis) {
			return Optional.of("drain deadline has passed");
		}
		boolean outlasts = nowMillis + this.estimator.expectedRemainingMillis(job, nowMillis) > deadlineMillis;
		boolean movable = job.spec().repeatable() && job.state() == JobState.RUNNING;
		return (outlasts && movable) ? Optional.of("would outlast the drain") : Optional.empty();
	}

	private static JobIntervention stopIntervention(WorkerLoad worker, JobRecord job, String reason) {
		return new JobIntervention(worker.name(), job.id(), job.leaseEpoch(), JobOrderKind.STOP, 0, reason);
	}

}
