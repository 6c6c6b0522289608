package io.burdockpin.core.placement;

import java.util.List;
import java.util.Optional;

import io.burdockpin.core.client.ClientMessage.JobReport;
import io.burdockpin.core.client.ClientMessage.WorkerReport;
import io.burdockpin.core.client.JobPhase;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.PoolRecord;
import io.burdockpin.core.state.TeamRecord;

/**
 * Creates records for planner tests: hosts with four cores and 4 GiB of memory in one
 * pool.
 */
public final class Records {

	public static final PoolName POOL = new PoolName("pool-1");

	public static final TeamName TEAM = new TeamName("team-1");

	private Records() {
	}

	public static HostName hostName(int number) {
		return new HostName("worker-" + number);
	}

	public static HostRecord host(int number, HostState state) {
		HostSpec spec = new HostSpec(hostName(number), new DataCentre("dc-1"), new Rack("rack-" + (number - 1) / 4),
				new Resources(4_000, 4_096, 0));
		return new HostRecord(spec, POOL, state, 1);
	}

	public static PoolRecord pool(int minimumInServicePercent, int maximumRacksOut) {
		return new PoolRecord(POOL, new AvailabilityBudget(minimumInServicePercent, 1000, maximumRacksOut), false, 1);
	}

	public static TeamRecord team(String name, int weight, int limit) {
		return new TeamRecord(new TeamSpec(new TeamName(name), weight, limit, 0), 1);
	}

	public static JobSpec spec(String team, int cores, boolean urgent, boolean repeatable) {
		return new JobSpec(new TeamName(team), POOL, new Resources(1_000 * cores, 512, 0), 60_000, urgent, repeatable,
				Payload.EMPTY);
	}

	public static JobRecord waiting(String id, JobSpec spec) {
		return job(id, spec, JobState.WAITING, Optional.empty(), 0);
	}

	public static JobRecord placedOn(int host, String id, JobSpec spec, JobState state) {
		return job(id, spec, state, Optional.of(hostName(host)), 1);
	}

	public static FleetView view(List<HostRecord> hosts, List<TeamRecord> teams, List<JobRecord> jobs) {
		return new FleetView(List.of(pool(80, 2)), hosts, teams, jobs, List.of(), List.of());
	}

	public static WorkerReport report(int host, String bootId, JobReport... jobs) {
		return new WorkerReport(hostName(host), bootId, 1, Resources.NONE, List.of(jobs));
	}

	public static JobReport jobReport(String id, long epoch, JobPhase phase) {
		return new JobReport(new JobId(id), epoch, phase, Resources.NONE, Payload.EMPTY);
	}

	private static JobRecord job(String id, JobSpec spec, JobState state, Optional<HostName> worker, long epoch) {
		return new JobRecord(new JobId(id), spec, state, worker, epoch, false, 0, 0, 0, "", Payload.EMPTY,
				Payload.EMPTY);
	}

}
