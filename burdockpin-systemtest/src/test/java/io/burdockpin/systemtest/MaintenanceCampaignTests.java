package io.burdockpin.systemtest;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.CampaignState;
import io.burdockpin.core.state.ChangeCause;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.DrainRecord;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.MaintenanceCommand;
import io.burdockpin.systemtest.check.CommittedHistory;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.ControlMember;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.JobCaller;
import io.burdockpin.systemtest.fleet.Operator;
import io.burdockpin.systemtest.fleet.StandInWorker;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Promises P1 and P10 for hosts with real processes: six workers in three racks, each
 * with one job.
 */
class MaintenanceCampaignTests {

	private static final String KEY = "key-of-the-bookers-0123456789abcdef0123456789abcdef00";

	private static final TeamName TEAM = new TeamName("bookers");

	private static final Command GRANT_KEY = new ConfigurationCommand.GrantKey(TEAM, KeyHash.of(KEY), "test");

	private static final PoolName POOL = new PoolName("racks");

	private static final CampaignName CAMPAIGN = new CampaignName("kernel");

	private static final CampaignName OTHER_CAMPAIGN = new CampaignName("firmware");

	private static final int WORKERS = 6;

	private static final int HOSTS_PER_RACK = 2;

	/** The budget of the pool; the campaign itself would take out more at once. */
	private static final int WAVE_HOSTS = 2;

	private static final int JOB_LEASE_MILLIS = 10_000;

	/** Outlasts the lease of the lost rack, so that a host still drains at its loss. */
	private static final long JOB_MILLIS = 18_000;

	private static final long DRAIN_MILLIS = 120_000;

	/** Outlasts the drains of the short kind and the test. */
	private static final long LONG_JOB_MILLIS = 600_000;

	private static final long SHORT_DRAIN_MILLIS = 3_000;

	private final Map<HostName, StandInWorker> workers = new HashMap<>();

	private final Map<HostName, Integer> reboots = new HashMap<>();

	/** The version that the first reply to each call named. */
	private final Map<String, Long> versions = new HashMap<>();

	private Fleet fleet;

	private Operator operator;

	private Operator otherEntryHost;

	@BeforeEach
	void startFleet() {
		// The log is replayed at the end, so no snapshot may shorten it.
		this.fleet = Fleet.start("maintenance", 2,
				Map.of("snapshotEntries", 100_000, "jobLeaseMillis", JOB_LEASE_MILLIS));
		for (int number = 1; number <= WORKERS; number++) {
			this.workers.put(host(number), this.fleet.startWorker(host(number).value(), number % 2));
		}
		this.operator = new Operator(this.fleet.entries());
		this.otherEntryHost = new Operator(List.of(this.fleet.entries().get(1), this.fleet.entries().get(0)));
		change("create-team", new ConfigurationCommand.CreateTeam(new TeamSpec(TEAM, 1, 50, 0)));
		change("grant-key", GRANT_KEY);
		change("create-pool",
				new ConfigurationCommand.CreatePool(POOL, new AvailabilityBudget(50, WAVE_HOSTS, 2), false));
		for (int number = 1; number <= WORKERS; number++) {
			addHost(host(number), "rack-" + (1 + (number - 1) / HOSTS_PER_RACK));
		}
	}

	@AfterEach
	void stopFleet() {
		this.fleet.close();
	}

	/**
	 * Guards against a new leader that drains hosts again or beyond the budgets, a wave
	 * that starts in spite of a correlated loss, and operator calls that take effect
	 * again when they are resent after the next call.
	 */
	@Test
	void aCampaignKeepsItsBudgetsWhenTheLeaderIsKilledAndARackIsLostInTheMiddleOfAWave() {
		fillWithJobs(JOB_MILLIS);
		drainAndReturnByHand();
		startFirstWave();
		List<DrainRecord> wave = campaign().hostsOut();
		ControlMember killed = this.fleet.leader();
		killed.process().kill();
		List<HostName> lostRack = loseARackOutsideOf(wave);
		Await.until("a pause because of the lost rack", () -> campaign().state() == CampaignState.PAUSED);
		Truth.assertThat(campaign().hostsOut()).isEqualTo(wave);
		Truth.assertThat(campaign().hostsDone()).isEmpty();
		cancelAnotherCampaign();
		killed.process().start();
		lostRack.forEach((host) -> this.workers.get(host).process().start());
		Await.until("the return of all hosts", () -> {
			rebootHostsInMaintenance();
			return campaign().hostsOut().isEmpty()
					&& hosts().stream().allMatch((host) -> host.state() == HostState.IN_SERVICE);
		});
		Truth.assertThat(campaign().state()).isEqualTo(CampaignState.PAUSED);
		Truth.assertThat(campaign().hostsDone()).containsExactlyElementsIn(hostsOf(wave));
		change("resume-after-loss", new MaintenanceCommand.ResumeCampaign(CAMPAIGN));
		Await.until("the end of the campaign", () -> {
			rebootHostsInMaintenance();
			return campaign().state() == CampaignState.COMPLETED;
		});
		resendAll();
		checkHistory();
		Truth.assertThat(this.fleet.brokenPromises()).isEmpty();
	}

	/**
	 * Guards against a drain that interrupts a job without an announcement, or that loses
	 * it, and against a time line that overlooks such an interruption.
	 */
	@Test
	void aDrainInterruptsAtItsDeadlineOnlyTheJobsThatItAnnounced() {
		fillWithJobs(LONG_JOB_MILLIS);
		change("start", new MaintenanceCommand.StartCampaign(campaignSpec(CAMPAIGN, 1, SHORT_DRAIN_MILLIS)));
		Await.until("another start of the jobs of the first wave", () -> {
			rebootHostsInMaintenance();
			return this.workers.values().stream().mapToInt(StandInWorker::startCount).sum() >= WORKERS + WAVE_HOSTS;
		});
		Truth.assertThat(this.fleet.brokenPromises()).isEmpty();
		// The planted fault: the same interruptions without the announcements.
		List<String> unannounced = this.fleet
			.brokenPromises((event) -> event.is(EventKind.DRAIN_ANNOUNCED) ? Stream.empty() : Stream.of(event));
		Truth.assertThat(unannounced.size()).isAtLeast(WAVE_HOSTS);
		unannounced.forEach((broken) -> Truth.assertThat(broken).startsWith("DRAIN_NOT_ANNOUNCED"));
	}

	/**
	 * Guards against a new leader that does not recognise a reboot which it did not see
	 * begin or end, reboots a host again, or takes out further hosts meanwhile.
	 */
	@Test
	void aCampaignGoesOnWhenTheLeaderIsKilledWhileItsHostsReboot() {
		// Their workers never start. The campaign may lose one host, and these are two.
		addHost(new HostName("n1"), "rack-8");
		addHost(new HostName("n2"), "rack-9");
		Await.until("all workers in service", () -> hostsIn(HostState.IN_SERVICE).size() == WORKERS);
		startCampaign(1);
		Await.until("a wave without jobs", () -> hostsIn(HostState.IN_MAINTENANCE).size() == WAVE_HOSTS);
		List<HostName> wave = hostsIn(HostState.IN_MAINTENANCE);
		wave.forEach((host) -> this.workers.get(host).process().kill());
		ControlMember killed = this.fleet.leader();
		killed.process().kill();
		this.workers.get(wave.get(0)).process().start();
		Truth.assertThat(this.fleet.leader()).isNotEqualTo(killed);
		Truth.assertThat(campaign().hostsDone()).doesNotContain(wave.get(1));
		Truth.assertThat(stateOf(wave.get(1))).isEqualTo(HostState.IN_MAINTENANCE);
		this.workers.get(wave.get(1)).process().start();
		wave.forEach((host) -> this.reboots.put(host, 1));
		killed.process().start();
		Await.until("the end of the campaign", () -> {
			rebootHostsInMaintenance();
			return campaign().state() == CampaignState.COMPLETED;
		});
		Truth.assertThat(hostsIn(HostState.AWAITED)).hasSize(2);
		checkHistory();
	}

	// helpers

	private void addHost(HostName host, String rack) {
		// One job fills a host.
		HostSpec spec = new HostSpec(host, new DataCentre("dc1"), new Rack(rack), new Resources(900, 1_024, 0));
		change("add-" + host, new ConfigurationCommand.AddHost(spec, POOL));
	}

	private void fillWithJobs(long jobMillis) {
		JobCaller caller = new JobCaller(this.fleet.entries().get(0), KEY);
		for (int number = 1; number <= WORKERS; number++) {
			caller.submit("%d-fill-%d".formatted(System.currentTimeMillis() / 1000, number), POOL.value(), jobMillis,
					true);
		}
		Await.until("a job on each host",
				() -> this.workers.values().stream().allMatch((worker) -> worker.startCount() > 0));
	}

	private void drainAndReturnByHand() {
		HostName host = host(WORKERS);
		Command drain = new ConfigurationCommand.SetHostState(host, HostState.DRAINING, ChangeCause.OPERATOR);
		change("drain", drain);
		change("return", new ConfigurationCommand.SetHostState(host, HostState.IN_SERVICE, ChangeCause.OPERATOR));
		resend("drain", drain);
		Truth.assertThat(stateOf(host)).isEqualTo(HostState.IN_SERVICE);
	}

	private void startFirstWave() {
		startCampaign(1);
		Await.until("a wave of two hosts", () -> campaign().hostsOut().size() >= WAVE_HOSTS);
		Command pause = new MaintenanceCommand.PauseCampaign(CAMPAIGN, "checked by hand");
		change("pause", pause);
		change("resume", new MaintenanceCommand.ResumeCampaign(CAMPAIGN));
		resend("pause", pause);
		Truth.assertThat(campaign().state()).isEqualTo(CampaignState.RUNNING);
	}

	private void startCampaign(int maximumUnplannedLosses) {
		change("start",
				new MaintenanceCommand.StartCampaign(campaignSpec(CAMPAIGN, maximumUnplannedLosses, DRAIN_MILLIS)));
	}

	// The budget is used up, so that this campaign takes out no host.
	private void cancelAnotherCampaign() {
		Command start = new MaintenanceCommand.StartCampaign(campaignSpec(OTHER_CAMPAIGN, WORKERS, DRAIN_MILLIS));
		Command cancel = new MaintenanceCommand.CancelCampaign(OTHER_CAMPAIGN);
		change("start-other", start);
		change("cancel", cancel);
		change("start-other-again", start);
		resend("cancel", cancel);
		Truth.assertThat(this.operator.campaign(OTHER_CAMPAIGN).map(CampaignRecord::state))
			.isEqualTo(Optional.of(CampaignState.RUNNING));
		change("cancel-again", cancel);
		resend("start-other-again", start);
		Truth.assertThat(this.operator.campaign(OTHER_CAMPAIGN).map(CampaignRecord::state))
			.isEqualTo(Optional.of(CampaignState.CANCELLED));
	}

	private static CampaignSpec campaignSpec(CampaignName name, int maximumUnplannedLosses, long drainMillis) {
		return new CampaignSpec(name, List.of(POOL), 2 * WAVE_HOSTS, drainMillis,
				System.currentTimeMillis() + 3_600_000, maximumUnplannedLosses);
	}

	private List<HostName> loseARackOutsideOf(List<DrainRecord> wave) {
		List<HostName> out = hostsOf(wave);
		List<HostRecord> hosts = hosts();
		Rack draining = hosts.stream()
			.filter((host) -> out.contains(host.name()))
			.findFirst()
			.orElseThrow()
			.spec()
			.rack();
		Rack lost = hosts.stream()
			.filter((host) -> !host.spec().rack().equals(draining) && !out.contains(host.name()))
			.findFirst()
			.orElseThrow()
			.spec()
			.rack();
		List<HostName> names = hosts.stream()
			.filter((host) -> host.spec().rack().equals(lost))
			.map(HostRecord::name)
			.toList();
		names.forEach((host) -> this.workers.get(host).process().kill());
		Truth.assertThat(hosts.stream().map(HostRecord::state)).contains(HostState.DRAINING);
		return names;
	}

	private void rebootHostsInMaintenance() {
		for (HostRecord host : hosts()) {
			boolean due = host.state() == HostState.IN_MAINTENANCE && !this.reboots.containsKey(host.name());
			if (due) {
				this.reboots.put(host.name(), 1);
				this.workers.get(host.name()).process().kill();
				this.workers.get(host.name()).process().start();
			}
		}
	}

	private void resendAll() {
		CampaignRecord campaign = campaign();
		List<HostRecord> hosts = hosts();
		resend("grant-key", GRANT_KEY);
		resend("pause", new MaintenanceCommand.PauseCampaign(CAMPAIGN, "checked by hand"));
		resend("resume", new MaintenanceCommand.ResumeCampaign(CAMPAIGN));
		resend("resume-after-loss", new MaintenanceCommand.ResumeCampaign(CAMPAIGN));
		resend("start", new MaintenanceCommand.StartCampaign(campaign.spec()));
		resend("cancel", new MaintenanceCommand.CancelCampaign(OTHER_CAMPAIGN));
		Truth.assertThat(campaign()).isEqualTo(campaign);
		Truth.assertThat(hosts()).isEqualTo(hosts);
	}

	private void checkHistory() {
		ControlMember leader = this.fleet.leader();
		long commitIndex = leader.health().number("commitIndex");
		leader.process().kill();
		CommittedHistory history = CommittedHistory.read(leader, commitIndex);
		Truth.assertThat(history.budgetBreaches()).isEmpty();
		Truth.assertThat(history.countAccepted(MaintenanceCommand.CompleteCampaign.class::isInstance)).isEqualTo(1);
		Map<HostName, Integer> once = new HashMap<>();
		this.workers.keySet().forEach((host) -> once.put(host, 1));
		Truth.assertThat(history.entriesInto(HostState.IN_MAINTENANCE)).isEqualTo(once);
		Truth.assertThat(this.reboots).isEqualTo(once);
		Truth.assertThat(history.countAccepted(MaintenanceCommand.StartDrain.class::isInstance)).isEqualTo(WORKERS);
		Truth.assertThat(history.countAccepted(MaintenanceCommand.CompleteHost.class::isInstance)).isEqualTo(WORKERS);
		Truth.assertThat(drainsWhilePaused(history)).isEmpty();
		Map<String, Integer> changes = history.changesByRequest();
		this.versions.keySet()
			.forEach((request) -> Truth.assertWithMessage("changes by the call %s", request)
				.that(changes)
				.containsEntry(request, 1));
	}

	private static List<String> drainsWhilePaused(CommittedHistory history) {
		return history.steps()
			.stream()
			.filter((step) -> step.before().campaigns().stream().anyMatch(MaintenanceCampaignTests::isPaused))
			.filter((step) -> !step.before().hosts().equals(step.after().hosts()))
			.filter((step) -> step.proposal().command() instanceof MaintenanceCommand.StartDrain)
			.map(Object::toString)
			.toList();
	}

	private static boolean isPaused(CampaignRecord campaign) {
		return campaign.state() == CampaignState.PAUSED;
	}

	// Each call is sent again at once through the other entry host.
	private void change(String requestId, Command command) {
		this.versions.put(requestId, this.operator.change(requestId, command).version());
		resend(requestId, command);
	}

	private void resend(String requestId, Command command) {
		Truth.assertWithMessage("version in the reply to the resend of %s", requestId)
			.that(this.otherEntryHost.change(requestId, command).version())
			.isEqualTo(this.versions.get(requestId));
	}

	private CampaignRecord campaign() {
		Optional<CampaignRecord> campaign = this.operator.campaign(CAMPAIGN);
		return campaign.orElseThrow();
	}

	private List<HostRecord> hosts() {
		return this.operator.configuration().hosts();
	}

	private List<HostName> hostsIn(HostState state) {
		return hosts().stream().filter((host) -> host.state() == state).map(HostRecord::name).toList();
	}

	private HostState stateOf(HostName name) {
		return hosts().stream().filter((host) -> host.name().equals(name)).findFirst().orElseThrow().state();
	}

	private static List<HostName> hostsOf(List<DrainRecord> drains) {
		return drains.stream().map(DrainRecord::host).toList();
	}

	private static HostName host(int number) {
		return new HostName("w" + number);
	}

}
