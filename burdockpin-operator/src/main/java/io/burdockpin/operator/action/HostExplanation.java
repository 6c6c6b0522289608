package io.burdockpin.operator.action;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.burdockpin.core.state.AvailabilityCheck;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.CampaignState;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.DrainRecord;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;

/** Says in sentences why a host is in its state. Stateless. */
final class HostExplanation {

	private HostExplanation() {
	}

	/**
	 * Explains a host.
	 * @param host the host
	 * @param configuration pools, hosts and teams
	 * @param jobs all jobs
	 * @param campaigns all campaigns
	 * @return its place, the reason for its state, what holds a drain back, and its jobs
	 */
	static List<String> of(HostRecord host, ConfigurationSnapshot configuration, List<JobRecord> jobs,
			List<CampaignRecord> campaigns) {
		List<String> lines = new ArrayList<>();
		lines.add("host %s is %s in pool %s, data centre %s, rack %s, changed at index %d".formatted(host.name(),
				host.state(), host.pool(), host.spec().dataCentre(), host.spec().rack(), host.version()));
		host.homePool()
			.ifPresent((home) -> lines
				.add("it is lent by spare pool %s and returns there once it is idle".formatted(home)));
		lines.add(host.state().acceptsNewJobs() ? "it takes new jobs" : "it takes no new jobs");
		lines.add(reason(host, campaigns));
		if (host.state().countsAsAvailable()) {
			AvailabilityCheck check = new AvailabilityCheck(configuration.pools(), configuration.hosts(),
					configuration.teams(), jobs);
			lines.add(check.findViolation(host.name())
				.map((refusal) -> "a budget holds back its drain: " + refusal)
				.orElse("its drain would keep all budgets"));
		}
		campaigns.forEach((campaign) -> lines.addAll(role(campaign, host)));
		jobs.stream()
			.filter((job) -> job.state().holdsCapacity() && job.worker().equals(Optional.of(host.name())))
			.forEach((job) -> lines.add("job %s of team %s is %s on it, %s%s".formatted(job.id(), job.spec().team(),
					job.state(), job.spec().repeatable() ? "repeatable" : "not repeatable",
					job.cancelRequested() ? ", to be cancelled" : "")));
		return lines;
	}

	private static String reason(HostRecord host, List<CampaignRecord> campaigns) {
		String outFor = campaigns.stream()
			.filter((campaign) -> drain(campaign, host).isPresent())
			.findFirst()
			.map((campaign) -> "for campaign " + campaign.name())
			.orElse("by an operator or for a loan, not for a campaign");
		return switch (host.state()) {
			case IN_SERVICE -> "it reports and nothing keeps it out";
			case DRAINING -> "it was taken out " + outFor + "; its jobs end, move or are interrupted at the deadline";
			case IN_MAINTENANCE -> "it is empty and was taken out " + outFor;
			case RETURNING -> "it has reported again and is checked before it counts as available";
			case LOST -> "it has not reported for longer than its lease";
			case SET_ASIDE -> "the jobs that it started failed quickly; repair it, then host check and host return";
			case AWAITED -> "it was added and its worker has never reported; it counts in no budget until it does";
		};
	}

	private static List<String> role(CampaignRecord campaign, HostRecord host) {
		List<String> lines = new ArrayList<>();
		drain(campaign, host).ifPresent((drain) -> lines.add("campaign %s has it out, drain deadline %s"
			.formatted(campaign.name(), Instant.ofEpochMilli(drain.drainDeadlineMillis()))));
		if (campaign.hostsDone().contains(host.name())) {
			lines.add("campaign %s has maintained it".formatted(campaign.name()));
		}
		else if (lines.isEmpty() && !campaign.state().ended() && host.state().countsInPool()
				&& campaign.spec().pools().contains(host.pool())) {
			lines.add("campaign %s has still to maintain it%s".formatted(campaign.name(),
					(campaign.state() == CampaignState.PAUSED) ? ", but is paused: " + campaign.reason() : ""));
		}
		return lines;
	}

	private static Optional<DrainRecord> drain(CampaignRecord campaign, HostRecord host) {
		return campaign.hostsOut().stream().filter((drain) -> drain.host().equals(host.name())).findFirst();
	}

}
