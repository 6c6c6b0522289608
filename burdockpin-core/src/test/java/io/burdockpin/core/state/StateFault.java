package io.burdockpin.core.state;

import java.util.List;

import io.burdockpin.core.model.DataCentre;

/**
 * Faults that a test injects around the state machine to verify that the invariant checks
 * detect them.
 */
enum StateFault {

	NONE,

	/** A snapshot without the results of operator commands. */
	SNAPSHOT_WITHOUT_RESULTS {
		@Override
		FleetSnapshot snapshot(FleetSnapshot taken) {
			return new FleetSnapshot(taken.index(), taken.timeMillis(), taken.configuration(), taken.holders(),
					taken.tokens(), taken.claims(), taken.jobs(), taken.campaigns(), List.of());
		}
	},

	/** A snapshot without the tokens of ended incarnations. */
	SNAPSHOT_WITHOUT_BLOCKED_TOKENS {
		@Override
		FleetSnapshot snapshot(FleetSnapshot taken) {
			List<TokenRecord> tokens = taken.tokens()
				.stream()
				.filter((token) -> taken.holders()
					.contains(new HolderRecord(token.holder(), new DataCentre("dc-1"), false)))
				.toList();
			return new FleetSnapshot(taken.index(), taken.timeMillis(), taken.configuration(), taken.holders(), tokens,
					taken.claims(), taken.jobs(), taken.campaigns(), taken.dedups());
		}
	},

	/**
	 * An interruption with an unknown outcome is treated as if the job had never started.
	 */
	INTERRUPTION_TAKEN_FOR_NO_START {
		@Override
		Proposal proposal(Proposal proposal, long replicaMillis) {
			if (proposal.command() instanceof JobCommand.InterruptJob interrupt) {
				return new Proposal(proposal.timeMillis(), proposal.requestId(), proposal.expectedVersion(),
						new JobCommand.InterruptJob(interrupt.job(), interrupt.leaseEpoch(), true,
								interrupt.checkpoint()));
			}
			return proposal;
		}
	},

	/** A replica uses its own clock instead of the time in the proposal. */
	OWN_CLOCK {
		@Override
		Proposal proposal(Proposal proposal, long replicaMillis) {
			return new Proposal(proposal.timeMillis() + replicaMillis, proposal.requestId(), proposal.expectedVersion(),
					proposal.command());
		}
	};

	FleetSnapshot snapshot(FleetSnapshot taken) {
		return taken;
	}

	Proposal proposal(Proposal proposal, long replicaMillis) {
		return proposal;
	}

}
