package io.burdockpin.benchmark.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.burdockpin.core.client.ClientMessage.JobOrder;
import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.client.JobOrderKind;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.placement.FleetView;
import io.burdockpin.core.placement.JobIndex;
import io.burdockpin.core.placement.ReconciliationResult;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.MaintenanceCommand;

/** Faults that the invariants must find. Each wraps the planners of a firm. */
enum PlantedFault {

	/**
	 * Places a job elsewhere as soon as its worker is silent, without waiting for the
	 * lease.
	 */
	IGNORES_LEASES {
		@Override
		Policy plantIn(Policy policy) {
			return new FaultyPolicy(policy) {

				@Override
				public List<Command> place(FleetView view, JobIndex jobs, long nowMillis) {
					List<Command> commands = new ArrayList<>();
					for (JobRecord job : view.jobs()) {
						boolean silent = job.worker().filter((worker) -> isSilent(worker, nowMillis)).isPresent();
						if (job.state() == JobState.RUNNING && silent) {
							commands.add(new JobCommand.InterruptJob(job.id(), job.leaseEpoch(), false, Payload.EMPTY));
						}
					}
					commands.addAll(super.place(view, jobs, nowMillis));
					return commands;
				}

			};
		}
	},

	/** Drains every host of a campaign at once. */
	IGNORES_BUDGETS {
		@Override
		Policy plantIn(Policy policy) {
			return new FaultyPolicy(policy) {

				@Override
				public List<Command> maintain(FleetView view, JobIndex jobs, long nowMillis) {
					List<Command> commands = new ArrayList<>(super.maintain(view, jobs, nowMillis));
					for (CampaignRecord campaign : view.campaigns()) {
						for (HostRecord host : view.hosts()) {
							if (campaign.spec().pools().contains(host.pool())) {
								commands.add(new MaintenanceCommand.StartDrain(campaign.name(), host.name(),
										campaign.wave() + 1, nowMillis));
							}
						}
					}
					return commands;
				}

			};
		}
	},

	/** Parks a job that does not fit at the moment. */
	PARKS_WAITING_JOBS {
		@Override
		Policy plantIn(Policy policy) {
			return new FaultyPolicy(policy) {

				@Override
				public List<Command> place(FleetView view, JobIndex jobs, long nowMillis) {
					List<Command> commands = new ArrayList<>(super.place(view, jobs, nowMillis));
					view.jobs()
						.stream()
						.filter((job) -> job.state() == JobState.WAITING && nowMillis - job.changedMillis() > 5_000)
						.forEach((job) -> commands.add(new JobCommand.ParkJob(job.id(), "does not fit now")));
					return commands;
				}

			};
		}
	},

	/** Starts a lost job again although it is not repeatable. */
	RESTARTS_JOBS_THAT_ARE_NOT_REPEATABLE {
		@Override
		Policy plantIn(Policy policy) {
			return new FaultyPolicy(policy) {

				@Override
				public ReconciliationResult answer(WorkerReport report, JobIndex jobs, long nowMillis) {
					ReconciliationResult answer = super.answer(report, jobs, nowMillis);
					List<JobOrder> orders = new ArrayList<>(answer.order().orders());
					for (JobRecord job : jobs.placedOn(report.worker())) {
						boolean listed = report.jobs().stream().anyMatch((listing) -> listing.job().equals(job.id()));
						if (!listed && !job.spec().repeatable()) {
							orders.add(
									new JobOrder(job.id(), job.leaseEpoch(), JobOrderKind.START, job.spec().resources(),
											job.spec().runMillis(), false, Payload.EMPTY, Payload.EMPTY, 0));
						}
					}
					WorkerOrder order = answer.order();
					return new ReconciliationResult(answer.commands(), new WorkerOrder(order.worker(), order.sequence(),
							order.leaseMillis(), order.renewed(), orders));
				}

			};
		}
	};

	abstract Policy plantIn(Policy policy);

	private static class FaultyPolicy implements Policy {

		private static final long SILENT_MILLIS = 2_000;

		private final Policy policy;

		private final Map<HostName, Long> heardMillis = new HashMap<>();

		FaultyPolicy(Policy policy) {
			this.policy = policy;
		}

		@Override
		public ReconciliationResult answer(WorkerReport report, JobIndex jobs, long nowMillis) {
			this.heardMillis.put(report.worker(), nowMillis);
			return this.policy.answer(report, jobs, nowMillis);
		}

		@Override
		public List<Command> place(FleetView view, JobIndex jobs, long nowMillis) {
			return this.policy.place(view, jobs, nowMillis);
		}

		@Override
		public List<Command> maintain(FleetView view, JobIndex jobs, long nowMillis) {
			return this.policy.maintain(view, jobs, nowMillis);
		}

		@Override
		public void restart() {
			this.policy.restart();
		}

		boolean isSilent(HostName worker, long nowMillis) {
			return nowMillis - this.heardMillis.getOrDefault(worker, nowMillis) > SILENT_MILLIS;
		}

	}

}
