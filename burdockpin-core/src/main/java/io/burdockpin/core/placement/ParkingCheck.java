package io.burdockpin.core.placement;

import java.util.Optional;

import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;

/**
 * Parks jobs that are too large for every host of their pool and unparks them once a host
 * is large enough. Hosts that are lost or in maintenance are included, because they are
 * expected to return. Stateless.
 */
final class ParkingCheck {

	/**
	 * Proposes the jobs to park and to unpark, and removes the parked ones from the
	 * queues of the round.
	 * @param round the current placement round
	 */
	void apply(PlacementRound round) {
		for (TeamLoad team : round.teams()) {
			park(round, team, true);
			park(round, team, false);
		}
		for (JobRecord job : round.view().jobs()) {
			if (job.state() == JobState.PARKED && unplaceableReason(round, job).isEmpty()) {
				round.propose(new JobCommand.UnparkJob(job.id()));
			}
		}
	}

	/**
	 * Returns why no host of its pool can run a job.
	 * @param round the current placement round
	 * @param job the waiting or parked job
	 * @return the reason, or empty if some host is large enough
	 */
	Optional<String> unplaceableReason(PlacementRound round, JobRecord job) {
		Optional<PoolLoad> pool = round.pool(job.spec().pool());
		if (pool.isEmpty()) {
			return Optional.of("pool %s has no hosts".formatted(job.spec().pool()));
		}
		Resources declared = job.spec().resources();
		if (pool.get().fitsEmptyWorker(declared) || pool.get().fitsEmptyWorker(round.demandOf(job, pool.get()))) {
			return Optional.empty();
		}
		return Optional
			.of("needs %d millicores, %d MiB and %d accelerators, more than any host of pool %s has".formatted(
					declared.cpuMillicores(), declared.memoryMebibytes(), declared.accelerators(), job.spec().pool()));
	}

	private void park(PlacementRound round, TeamLoad team, boolean urgent) {
		team.queue(urgent).removeIf((job) -> {
			Optional<String> reason = unplaceableReason(round, job);
			reason.ifPresent((text) -> round.propose(new JobCommand.ParkJob(job.id(), text)));
			return reason.isPresent();
		});
	}

}
