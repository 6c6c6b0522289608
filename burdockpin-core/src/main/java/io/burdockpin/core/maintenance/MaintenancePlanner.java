package io.burdockpin.core.maintenance;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.placement.FleetView;
import io.burdockpin.core.placement.JobIndex;
import io.burdockpin.core.placement.RemainingTimeEstimator;
import io.burdockpin.core.state.AvailabilityCheck;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.CampaignState;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.DrainRecord;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.MaintenanceCommand;

/**
 * Decides in rounds which hosts the campaigns take out of service and when these hosts
 * return. Progress is read from the replicated records, so a new leader continues where
 * the previous one stopped. Not thread-safe; owned by one actor.
 */
public final class MaintenancePlanner {

	private final DrainScore drainScore;

	private final RebootMonitor rebootMonitor;

	private final HostLossMonitor lossMonitor;

	private final Map<CampaignName, CampaignState> lastStates = new HashMap<>();

	/**
	 * Creates a planner.
	 * @param settings the preference, the loss window and the unconfirmed return period
	 */
	public MaintenancePlanner(MaintenanceSettings settings) {
		this.drainScore = new DrainScore(settings.preference());
		this.rebootMonitor = new RebootMonitor(settings.unconfirmedReturnMillis());
		this.lossMonitor = new HostLossMonitor(settings.lossWindowMillis());
	}

	// life cycle

	/** Discards the state collected from reports at the start of a new term. */
	public void reset() {
		this.rebootMonitor.reset();
		this.lossMonitor.reset();
		this.lastStates.clear();
	}

	/**
	 * Handles the boot report of a host.
	 * @param report the current boot of the host
	 */
	public void observe(HostBootReport report) {
		this.rebootMonitor.observe(report);
	}

	/**
	 * Runs one maintenance round.
	 * @param view the current records
	 * @param jobs the index of the jobs of the view
	 * @param remainingTime estimates the remaining run time of jobs
	 * @param nowMillis the time of the round
	 * @return the commands to propose and a notice for each new drain
	 */
	public MaintenanceDecision plan(FleetView view, JobIndex jobs, RemainingTimeEstimator remainingTime,
			long nowMillis) {
		Round round = new Round(view, jobs, remainingTime, nowMillis);
		this.lossMonitor.observe(view.hosts(), round.hostsOut, nowMillis);
		view.hosts().forEach((host) -> this.rebootMonitor.observe(host, nowMillis));
		for (CampaignRecord campaign : view.campaigns()) {
			acknowledgeResumed(campaign);
			advanceHosts(round, campaign);
			if (campaign.state().startsDrains()) {
				continueCampaign(round, campaign);
			}
		}
		return new MaintenanceDecision(round.commands, round.drainNotices);
	}

	// helpers

	private void acknowledgeResumed(CampaignRecord campaign) {
		CampaignState last = this.lastStates.put(campaign.spec().name(), campaign.state());
		if (last == CampaignState.PAUSED && campaign.state() == CampaignState.RUNNING) {
			this.lossMonitor.acknowledge(campaign.spec().pools());
		}
	}

	private void advanceHosts(Round round, CampaignRecord campaign) {
		boolean cancelled = campaign.state() == CampaignState.CANCELLED;
		for (DrainRecord drain : campaign.hostsOut()) {
			HostRecord host = round.hosts.get(drain.host());
			if (host != null) {
				CampaignStep.HostStatus status = new CampaignStep.HostStatus(
						round.jobs.placedOn(drain.host()).isEmpty(),
						this.rebootMonitor.hasReturned(drain, round.nowMillis), cancelled);
				CampaignStep.of(host.state())
					.next(campaign.spec().name(), drain.host(), status)
					.ifPresent(round.commands::add);
			}
		}
	}

	private void continueCampaign(Round round, CampaignRecord campaign) {
		CampaignSpec spec = campaign.spec();
		int lost = this.lossMonitor.countIn(spec.pools());
		if (lost > spec.maximumUnplannedLosses()) {
			round.commands.add(new MaintenanceCommand.PauseCampaign(spec.name(),
					"unplanned host losses: %d, allowed: %d".formatted(lost, spec.maximumUnplannedLosses())));
			return;
		}
		List<HostRecord> remaining = remainingHosts(round, campaign);
		// A campaign completes without lost hosts, because they may never return.
		boolean allLost = remaining.stream().allMatch((host) -> host.state() == HostState.LOST);
		if (allLost && campaign.hostsOut().isEmpty()) {
			round.commands.add(new MaintenanceCommand.CompleteCampaign(spec.name()));
			return;
		}
		startWave(round, campaign, remaining);
	}

	private List<HostRecord> remainingHosts(Round round, CampaignRecord campaign) {
		Set<HostName> done = new HashSet<>(campaign.hostsDone());
		List<HostRecord> remaining = new ArrayList<>();
		for (HostRecord host : round.view.hosts()) {
			boolean open = !done.contains(host.spec().name()) && !round.hostsOut.contains(host.spec().name());
			if (open && host.state().countsInPool() && campaign.spec().pools().contains(host.pool())) {
				remaining.add(host);
			}
		}
		return remaining;
	}

	private void startWave(Round round, CampaignRecord campaign, List<HostRecord> remaining) {
		int freeSlots = campaign.spec().maximumConcurrentHosts() - campaign.hostsOut().size();
		Map<PoolName, List<HostRecord>> byPool = new HashMap<>();
		remaining.forEach((host) -> byPool.computeIfAbsent(host.pool(), (pool) -> new ArrayList<>()).add(host));
		// Processes pools in the order of the campaign, as far as their budgets permit.
		for (PoolName pool : campaign.spec().pools()) {
			freeSlots -= startInPool(round, campaign, byPool.getOrDefault(pool, List.of()), freeSlots);
		}
	}

	private int startInPool(Round round, CampaignRecord campaign, List<HostRecord> remaining, int freeSlots) {
		List<DrainScore.Candidate> candidates = (freeSlots > 0) ? candidates(round, campaign, remaining) : List.of();
		int started = 0;
		while (started < freeSlots && !candidates.isEmpty()) {
			Optional<DrainScore.Candidate> next = nextDrain(round, campaign, candidates);
			if (next.isEmpty()) {
				return started;
			}
			startDrain(round, campaign, next.get());
			candidates.remove(next.get());
			started++;
		}
		return started;
	}

	private List<DrainScore.Candidate> candidates(Round round, CampaignRecord campaign, List<HostRecord> remaining) {
		CampaignSpec spec = campaign.spec();
		boolean deadlineIsFar = round.nowMillis + 2 * spec.drainMillis() < spec.deadlineMillis();
		List<DrainScore.Candidate> candidates = new ArrayList<>();
		for (HostRecord host : remaining) {
			boolean startable = host.state().successors().contains(HostState.DRAINING)
					&& round.availability.findViolation(host.spec().name()).isEmpty();
			if (!startable) {
				continue;
			}
			DrainForecast forecast = DrainForecast.of(round.jobs.placedOn(host.spec().name()), round.remainingTime,
					spec.drainMillis(), round.nowMillis);
			if (forecast.interruptedJobs().isEmpty() || !deadlineIsFar) {
				candidates.add(new DrainScore.Candidate(spec.name(), host, forecast));
			}
		}
		return candidates;
	}

	private Optional<DrainScore.Candidate> nextDrain(Round round, CampaignRecord campaign,
			List<DrainScore.Candidate> candidates) {
		Comparator<DrainScore.Candidate> byPenalty = Comparator
			.comparingDouble((candidate) -> penalty(round, campaign, candidate));
		return candidates.stream()
			.filter((candidate) -> round.availability.findViolation(candidate.host().spec().name()).isEmpty())
			.min(byPenalty.thenComparing((candidate) -> candidate.host().spec().rack())
				.thenComparing((candidate) -> candidate.host().spec().name()));
	}

	private double penalty(Round round, CampaignRecord campaign, DrainScore.Candidate candidate) {
		return this.drainScore.penalty(candidate.forecast(), campaign.spec().drainMillis(),
				round.availability.isRackOut(candidate.host()));
	}

	private void startDrain(Round round, CampaignRecord campaign, DrainScore.Candidate candidate) {
		CampaignName name = campaign.spec().name();
		HostName host = candidate.host().spec().name();
		long deadlineMillis = round.nowMillis + campaign.spec().drainMillis();
		round.commands.add(new MaintenanceCommand.StartDrain(name, host, campaign.wave() + 1, deadlineMillis,
				this.rebootMonitor.bootOf(host)));
		round.drainNotices.add(new DrainNotice(name, host, deadlineMillis, candidate.forecast().movedJobs(),
				candidate.forecast().interruptedJobs()));
		round.availability.recordStop(host);
		round.hostsOut.add(host);
	}

	/** Working state of one maintenance round. */
	private static final class Round {

		private final FleetView view;

		private final JobIndex jobs;

		private final RemainingTimeEstimator remainingTime;

		private final long nowMillis;

		private final Map<HostName, HostRecord> hosts = new HashMap<>();

		private final Set<HostName> hostsOut = new HashSet<>();

		private final AvailabilityCheck availability;

		private final List<Command> commands = new ArrayList<>();

		private final List<DrainNotice> drainNotices = new ArrayList<>();

		private Round(FleetView view, JobIndex jobs, RemainingTimeEstimator remainingTime, long nowMillis) {
			this.view = view;
			this.jobs = jobs;
			this.remainingTime = remainingTime;
			this.nowMillis = nowMillis;
			view.hosts().forEach((host) -> this.hosts.put(host.spec().name(), host));
			view.campaigns()
				.forEach((campaign) -> campaign.hostsOut().forEach((drain) -> this.hostsOut.add(drain.host())));
			this.availability = new AvailabilityCheck(view.pools(), view.hosts(), view.teams(), view.jobs());
		}

	}

}
