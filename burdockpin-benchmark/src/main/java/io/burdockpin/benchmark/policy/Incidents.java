package io.burdockpin.benchmark.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.CampaignState;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.MaintenanceCommand;

/**
 * What happens to the fleet from outside: reboots, failures, cancellations and the
 * operator. Mutable, used by one thread.
 */
final class Incidents {

	static final CampaignName CAMPAIGN = new CampaignName("kernel");

	private static final long CANCEL_PERIOD_MILLIS = 120_000;

	private static final double CANCELLED_PART = 0.3;

	private static final long FAILING_FROM_MILLIS = 40_000;

	private static final long FAILING_TO_MILLIS = 300_000;

	/** One worker in this many fails everything, at least one. */
	private static final int WORKERS_PER_FAILING = 40;

	private static final long RACK_LOST_MILLIS = 150_000;

	private static final long RACK_BACK_MILLIS = 260_000;

	private static final long CUT_FROM_MILLIS = 400_000;

	private static final long CUT_TO_MILLIS = 470_000;

	private static final long LEADER_CHANGE_MILLIS = 200_000;

	private static final long RESUME_AFTER_MILLIS = 30_000;

	private static final int MAXIMUM_UNPLANNED_LOSSES = 2;

	private static final int HOSTS_PER_CONCURRENT = 8;

	private final ScenarioRun run;

	private final PolicyKind kind;

	private final SplittableRandom random;

	private final List<HostSpec> hosts;

	private final Map<HostName, Long> rebootDueMillis = new HashMap<>();

	private long pausedMillis = -1;

	Incidents(ScenarioRun run, PolicyKind kind, SplittableRandom random) {
		this.run = run;
		this.kind = kind;
		this.random = random;
		this.hosts = run.scenario().firm().hosts().stream().map(Firm.PooledHost::spec).toList();
	}

	// life cycle

	void apply(long nowMillis) {
		if (this.run.scenario().campaign()) {
			startCampaign(nowMillis);
			rebootHosts(nowMillis);
			resumeCampaign(nowMillis);
		}
		if (this.run.scenario().incidents()) {
			applyFailures(nowMillis);
			if (nowMillis % CANCEL_PERIOD_MILLIS == 0) {
				cancelWave(nowMillis);
			}
		}
	}

	// access

	boolean isReachable(HostSpec host) {
		boolean cut = this.run.scenario().incidents() && this.run.nowMillis() >= CUT_FROM_MILLIS
				&& this.run.nowMillis() < CUT_TO_MILLIS;
		return !cut || !host.rack().equals(rackNumber(1));
	}

	// helpers

	private void startCampaign(long nowMillis) {
		if (nowMillis != Scenario.CAMPAIGN_START_MILLIS) {
			return;
		}
		int concurrent = this.kind.maximumConcurrentHosts(Math.max(2, this.hosts.size() / HOSTS_PER_CONCURRENT));
		CampaignSpec spec = new CampaignSpec(CAMPAIGN, this.run.scenario().firm().pools(), concurrent,
				Scenario.DRAIN_MILLIS, this.run.scenario().durationMillis() / 2, MAXIMUM_UNPLANNED_LOSSES);
		this.run.fleet().apply(new MaintenanceCommand.StartCampaign(spec), nowMillis);
	}

	private void rebootHosts(long nowMillis) {
		for (HostRecord host : this.run.fleet().state().hosts()) {
			HostName name = host.spec().name();
			if (host.state() == HostState.IN_MAINTENANCE && !this.rebootDueMillis.containsKey(name)) {
				this.rebootDueMillis.put(name, nowMillis + Scenario.REBOOT_MILLIS);
				this.run.workers().get(name).crash();
			}
			else if (host.state() != HostState.IN_MAINTENANCE) {
				this.rebootDueMillis.remove(name);
			}
		}
		this.rebootDueMillis.forEach((name, dueMillis) -> {
			if (nowMillis == dueMillis) {
				this.run.workers().get(name).reboot();
			}
		});
	}

	private void resumeCampaign(long nowMillis) {
		for (CampaignRecord campaign : this.run.fleet().state().campaigns()) {
			if (campaign.state() != CampaignState.PAUSED) {
				this.pausedMillis = -1;
			}
			else if (this.pausedMillis < 0) {
				this.pausedMillis = nowMillis;
			}
			else if (nowMillis - this.pausedMillis >= RESUME_AFTER_MILLIS) {
				this.run.fleet().apply(new MaintenanceCommand.ResumeCampaign(CAMPAIGN), nowMillis);
			}
		}
	}

	private void applyFailures(long nowMillis) {
		if (nowMillis == FAILING_FROM_MILLIS || nowMillis == FAILING_TO_MILLIS) {
			setFailing(nowMillis == FAILING_FROM_MILLIS);
		}
		if (nowMillis == RACK_LOST_MILLIS) {
			workersOf(rackNumber(2)).forEach(VirtualWorker::crash);
		}
		if (nowMillis == RACK_BACK_MILLIS) {
			workersOf(rackNumber(2)).forEach(VirtualWorker::reboot);
		}
		if (nowMillis == LEADER_CHANGE_MILLIS) {
			this.run.restartLeader();
		}
	}

	private void setFailing(boolean failing) {
		int count = Math.max(1, this.hosts.size() / WORKERS_PER_FAILING);
		for (int number = 0; number < count; number++) {
			HostSpec host = this.hosts.get(this.hosts.size() / 2 + number);
			this.run.workers().get(host.name()).setFailsEverything(failing);
		}
	}

	private void cancelWave(long nowMillis) {
		List<TeamName> teams = this.run.scenario().firm().teams().stream().map((team) -> team.name()).toList();
		TeamName team = teams.get(this.random.nextInt(teams.size()));
		for (JobRecord job : this.run.fleet().openJobs()) {
			if (job.spec().team().equals(team) && this.random.nextDouble() < CANCELLED_PART) {
				this.run.fleet().apply(new JobCommand.CancelJob(job.id(), team), nowMillis);
			}
		}
	}

	private List<VirtualWorker> workersOf(Rack rack) {
		return this.run.workers().values().stream().filter((worker) -> worker.host().rack().equals(rack)).toList();
	}

	private static Rack rackNumber(int number) {
		return new Rack("rack-" + number);
	}

}
