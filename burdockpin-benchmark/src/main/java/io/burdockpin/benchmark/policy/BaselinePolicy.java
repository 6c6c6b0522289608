package io.burdockpin.benchmark.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.placement.FleetView;
import io.burdockpin.core.placement.JobIndex;
import io.burdockpin.core.placement.PlacementPreference;
import io.burdockpin.core.placement.ReconciliationResult;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.TeamRecord;

/**
 * Places jobs in the order of submission by their declared sizes. Leases, lost hosts and
 * drains are handled as by the planners, so that only the choice of jobs and workers
 * differs.
 */
final class BaselinePolicy implements Policy {

	private final PlannerPolicy planners = new PlannerPolicy(PlacementPreference.BALANCED);

	private final FitRule rule;

	BaselinePolicy(FitRule rule) {
		this.rule = rule;
	}

	@Override
	public ReconciliationResult answer(WorkerReport report, JobIndex jobs, long nowMillis) {
		return this.planners.answer(report, jobs, nowMillis);
	}

	@Override
	public List<Command> place(FleetView view, JobIndex jobs, long nowMillis) {
		List<JobRecord> placed = view.jobs().stream().filter((job) -> job.state().holdsCapacity()).toList();
		FleetView withoutWaiting = new FleetView(view.pools(), view.hosts(), view.teams(), placed, view.tokens(),
				view.campaigns());
		List<Command> commands = new ArrayList<>(this.planners.place(withoutWaiting, jobs, nowMillis));
		for (JobCommand.PlaceJob placement : new Round(view, jobs).placeWaiting()) {
			this.planners.notePlaced(placement);
			commands.add(placement);
		}
		return commands;
	}

	@Override
	public List<Command> maintain(FleetView view, JobIndex jobs, long nowMillis) {
		return this.planners.maintain(view, jobs, nowMillis);
	}

	@Override
	public void restart() {
		this.planners.restart();
	}

	/** How a worker is chosen among those with room. */
	enum FitRule {

		/** The first one. */
		FIRST {
			@Override
			boolean isBetter(Bin candidate, Bin best) {
				return false;
			}
		},

		/** The one with the least room left. */
		BEST {
			@Override
			boolean isBetter(Bin candidate, Bin best) {
				return candidate.free.cpuMillicores() < best.free.cpuMillicores();
			}
		};

		abstract boolean isBetter(Bin candidate, Bin best);

	}

	/** A worker with its room by declared sizes. */
	private static final class Bin {

		private final HostRecord host;

		private Resources free;

		private Bin(HostRecord host, List<JobRecord> jobs) {
			this.host = host;
			this.free = host.spec().capacity();
			jobs.forEach((job) -> this.free = this.free.minus(job.spec().resources()));
		}

	}

	/** Working data of one round. */
	private final class Round {

		private final FleetView view;

		private final Map<PoolName, List<Bin>> bins = new HashMap<>();

		private final Map<TeamName, Integer> unitsLeft = new HashMap<>();

		private Round(FleetView view, JobIndex jobs) {
			this.view = view;
			for (HostRecord host : view.hosts()) {
				if (host.state() == HostState.IN_SERVICE) {
					this.bins.computeIfAbsent(host.pool(), (pool) -> new ArrayList<>())
						.add(new Bin(host, jobs.placedOn(host.spec().name())));
				}
			}
			for (TeamRecord team : view.teams()) {
				this.unitsLeft.put(team.spec().name(), team.spec().upperLimit());
			}
			for (JobRecord job : view.jobs()) {
				if (job.state().holdsCapacity()) {
					this.unitsLeft.merge(job.spec().team(), -1, Integer::sum);
				}
			}
		}

		private List<JobCommand.PlaceJob> placeWaiting() {
			List<JobCommand.PlaceJob> commands = new ArrayList<>();
			for (JobRecord job : this.view.jobs()) {
				if (job.state() == JobState.WAITING && this.unitsLeft.getOrDefault(job.spec().team(), 0) > 0) {
					choose(job).ifPresent((bin) -> commands.add(place(job, bin)));
				}
			}
			return commands;
		}

		private Optional<Bin> choose(JobRecord job) {
			Optional<Bin> best = Optional.empty();
			for (Bin bin : this.bins.getOrDefault(job.spec().pool(), List.of())) {
				boolean fits = job.spec().resources().fitsIn(bin.free);
				if (fits && (best.isEmpty() || BaselinePolicy.this.rule.isBetter(bin, best.get()))) {
					best = Optional.of(bin);
				}
			}
			return best;
		}

		private JobCommand.PlaceJob place(JobRecord job, Bin bin) {
			bin.free = bin.free.minus(job.spec().resources());
			this.unitsLeft.merge(job.spec().team(), -1, Integer::sum);
			return new JobCommand.PlaceJob(job.id(), bin.host.spec().name(), job.leaseEpoch() + 1);
		}

	}

}
