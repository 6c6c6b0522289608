package io.burdockpin.core.placement;

import java.util.Optional;

import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;

/**
 * Sets jobs aside that can run nowhere and returns them once they can. Has no state.
 * Hosts that are lost or in maintenance count, because they come back.
 */
final class ParkingCheck {

	/**
	 * Proposes what has to change and takes parked jobs out of the round.
	 * @param round the round
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
	 * Explains why a job can run nowhere.
	 * @param round the round
	 * @param job the job
	 * @return the reason, or nothing if some host could run the job
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
