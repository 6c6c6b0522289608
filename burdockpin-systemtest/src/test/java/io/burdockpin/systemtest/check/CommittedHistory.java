package io.burdockpin.systemtest.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import io.burdockpin.codec.io.ProposalCodec;
import io.burdockpin.codec.thrift.impl.ThriftEntryContentCodec;
import io.burdockpin.codec.thrift.impl.ThriftProposalCodec;
import io.burdockpin.codec.thrift.impl.ThriftSnapshotCodec;
import io.burdockpin.control.storage.DiskFiles;
import io.burdockpin.control.storage.MemberStorage;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.FleetState;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.KeyRecord;
import io.burdockpin.core.state.PoolRecord;
import io.burdockpin.core.state.Proposal;
import io.burdockpin.core.state.TeamRecord;
import io.burdockpin.systemtest.fleet.ControlMember;

/**
 * The committed commands of a cluster with the state before and after each, replayed from
 * the log of a member that has been stopped. Counts budgets on its own and shares no code
 * with the planners. Immutable.
 */
public final class CommittedHistory {

	private static final int PERCENT = 100;

	private final List<Step> steps;

	private CommittedHistory(List<Step> steps) {
		this.steps = List.copyOf(steps);
	}

	// life cycle

	/**
	 * Replays the log of a member that does not run and has not taken a snapshot.
	 * @param member the member
	 * @param commitIndex the last entry that is known to be committed
	 * @return the history
	 */
	public static CommittedHistory read(ControlMember member, long commitIndex) {
		MemberStorage storage = new MemberStorage(new DiskFiles(member.dataFolder()), new ThriftEntryContentCodec(),
				new ThriftSnapshotCodec());
		ProposalCodec codec = new ThriftProposalCodec();
		FleetState state = FleetState.empty();
		List<Step> steps = new ArrayList<>();
		Moment before = Moment.of(state);
		for (LogEntry entry : storage.load().entries()) {
			if (entry.index() <= commitIndex && entry.content() instanceof EntryContent.CommandContent content) {
				Proposal proposal = codec.decode(content.payload().bytes());
				CommandResult result = state.apply(entry.index(), proposal);
				Moment after = Moment.of(state);
				steps.add(new Step(entry.index(), proposal, result, before, after));
				before = after;
			}
		}
		return new CommittedHistory(steps);
	}

	// access

	/**
	 * Returns all steps.
	 * @return the commands in the order of the log
	 */
	public List<Step> steps() {
		return this.steps;
	}

	/**
	 * Counts the accepted commands that fulfil a condition.
	 * @param condition the condition
	 * @return the number of commands that were not resends of earlier ones
	 */
	public long countAccepted(Predicate<Command> condition) {
		return this.steps.stream()
			.filter((step) -> step.result() instanceof CommandResult.Accepted accepted
					&& accepted.version() == step.index())
			.filter((step) -> condition.test(step.proposal().command()))
			.count();
	}

	/**
	 * Counts how often each host entered a state.
	 * @param state the state
	 * @return the counts by host
	 */
	public Map<HostName, Integer> entriesInto(HostState state) {
		Map<HostName, Integer> counts = new HashMap<>();
		for (Step step : this.steps) {
			step.hostsThatEntered(state).forEach((host) -> counts.merge(host, 1, Integer::sum));
		}
		return counts;
	}

	/**
	 * Counts how often each operator call changed teams, keys, pools, hosts, campaigns or
	 * jobs.
	 * @return the counts by request identifier; resends that changed nothing count as 0
	 */
	public Map<String, Integer> changesByRequest() {
		Map<String, Integer> counts = new HashMap<>();
		for (Step step : this.steps) {
			boolean changed = !step.before().equals(step.after());
			step.proposal()
				.requestId()
				.ifPresent((request) -> counts.merge(request.value(), changed ? 1 : 0, Integer::sum));
		}
		return counts;
	}

	/**
	 * Looks for moments at which a budget did not hold: after each planned stop, and at
	 * all moments at which no host is out because it was lost on its own or has just
	 * reported for the first time.
	 * @return descriptions of the breaches
	 */
	public List<String> budgetBreaches() {
		List<String> breaches = new ArrayList<>();
		Set<HostName> outOnTheirOwn = new HashSet<>();
		for (Step step : this.steps) {
			outOnTheirOwn.addAll(step.after().hostsIn(HostState.LOST));
			outOnTheirOwn.addAll(step.hostsThatLeft(HostState.AWAITED));
			outOnTheirOwn.removeAll(step.after().hostsIn(HostState.IN_SERVICE));
			if (!step.hostsThatEntered(HostState.DRAINING).isEmpty() || outOnTheirOwn.isEmpty()) {
				step.after().pools().forEach((pool) -> addBreaches(step, pool, breaches));
			}
		}
		return breaches;
	}

	// helpers

	private static void addBreaches(Step step, PoolRecord pool, List<String> breaches) {
		List<HostRecord> hosts = step.after()
			.hosts()
			.stream()
			.filter((host) -> host.pool().equals(pool.name()) && host.state() != HostState.AWAITED)
			.toList();
		List<HostRecord> out = hosts.stream().filter((host) -> host.state() != HostState.IN_SERVICE).toList();
		Set<String> racks = new HashSet<>();
		out.forEach((host) -> racks.add(host.spec().dataCentre() + "/" + host.spec().rack()));
		boolean tooFew = PERCENT * (hosts.size() - out.size()) < pool.budget().minimumInServicePercent() * hosts.size();
		if (tooFew || out.size() > pool.budget().maximumHostsOut() || racks.size() > pool.budget().maximumRacksOut()) {
			breaches.add("entry %d, %s: %d of %d hosts of pool %s out in %d racks".formatted(step.index(),
					step.proposal().command(), out.size(), hosts.size(), pool.name(), racks.size()));
		}
	}

	/**
	 * One committed command.
	 *
	 * @param index its log index
	 * @param proposal the command as it was proposed
	 * @param result what the state machine answered
	 * @param before the records before it
	 * @param after the records after it
	 */
	public record Step(long index, Proposal proposal, CommandResult result, Moment before, Moment after) {

		Set<HostName> hostsThatEntered(HostState state) {
			Set<HostName> entered = this.after.hostsIn(state);
			entered.removeAll(this.before.hostsIn(state));
			return entered;
		}

		Set<HostName> hostsThatLeft(HostState state) {
			Set<HostName> left = this.before.hostsIn(state);
			left.removeAll(this.after.hostsIn(state));
			return left;
		}

	}

	/**
	 * The records at one moment.
	 *
	 * @param teams all teams
	 * @param keys all keys
	 * @param pools all pools
	 * @param hosts all hosts
	 * @param campaigns all campaigns
	 * @param jobs all jobs
	 */
	public record Moment(List<TeamRecord> teams, List<KeyRecord> keys, List<PoolRecord> pools, List<HostRecord> hosts,
			List<CampaignRecord> campaigns, List<JobRecord> jobs) {

		private static Moment of(FleetState state) {
			ConfigurationSnapshot configuration = state.configuration();
			return new Moment(configuration.teams(), configuration.keys(), configuration.pools(), configuration.hosts(),
					state.campaigns(), state.jobs());
		}

		Set<HostName> hostsIn(HostState state) {
			Set<HostName> names = new HashSet<>();
			this.hosts.stream().filter((host) -> host.state() == state).forEach((host) -> names.add(host.name()));
			return names;
		}

	}

}
