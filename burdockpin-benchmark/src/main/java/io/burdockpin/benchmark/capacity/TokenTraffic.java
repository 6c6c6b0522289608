package io.burdockpin.benchmark.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ClientMessage.TokenReport;
import io.burdockpin.core.limit.HolderDeltas;
import io.burdockpin.core.limit.LeaderDeltas;
import io.burdockpin.core.limit.LocalTokens;
import io.burdockpin.core.limit.TokenAllocator;
import io.burdockpin.core.limit.TokenSettings;
import io.burdockpin.core.limit.TokenView;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.FleetState;
import io.burdockpin.core.state.Proposal;
import io.burdockpin.core.state.TokenCommand;

/** The wallets of all entry hosts and the allocator of the leader. Mutable. */
final class TokenTraffic {

	private static final int LIMIT = 200;

	private static final long DEADLINE_MILLIS = 30_000;

	private final FleetState state = FleetState.empty();

	private final TokenAllocator allocator;

	private final LeaderDeltas leaderMessages = new LeaderDeltas();

	private final List<Host> hosts = new ArrayList<>();

	private final int teamCount;

	private final TrafficRates rates;

	private final RandomGenerator random;

	private long commandCount;

	private long attempt;

	TokenTraffic(int hostCount, int teamCount, TrafficRates rates, RandomGenerator random, long nowMillis) {
		this.teamCount = teamCount;
		this.rates = rates;
		this.random = random;
		this.allocator = new TokenAllocator(TokenSettings.DEFAULT, 7, nowMillis);
		for (int team = 0; team < teamCount; team++) {
			apply(new ConfigurationCommand.CreateTeam(new TeamSpec(SampleFleet.team(team), 10, LIMIT, 0)), nowMillis);
		}
		for (int host = 0; host < hostCount; host++) {
			apply(new TokenCommand.RegisterHolder(SampleFleet.holder(host), SampleFleet.dataCentre(host)), nowMillis);
			this.hosts.add(new Host(new LocalTokens(SampleFleet.holder(host))));
		}
	}

	// Starts and ends requests of one step at each entry host.
	void step(long nowMillis, long stepMillis) {
		for (Host host : this.hosts) {
			while (!host.ends.isEmpty() && host.ends.peek().atMillis() <= nowMillis) {
				host.wallet.release(host.ends.poll().attempt());
			}
			Map<TeamName, Integer> waiting = new HashMap<>();
			for (int team = 0; team < this.teamCount; team++) {
				double perSecond = this.rates.isActive(team, this.teamCount, nowMillis)
						? this.rates.activeRequestsPerSecond() : this.rates.quietRequestsPerSecond();
				if (this.random.nextDouble() < perSecond * stepMillis / 1_000) {
					start(host, SampleFleet.team(team), waiting, nowMillis);
				}
			}
			host.wallet.updateDemand(waiting);
		}
	}

	TokenReport report(int host, long nowMillis) {
		return this.hosts.get(host).messages.toDelta(this.hosts.get(host).wallet.nextReport(nowMillis), nowMillis);
	}

	TokenGrants answer(TokenReport message, long nowMillis) {
		TokenReport report = this.leaderMessages.fromDelta(message).orElseThrow();
		this.allocator.onReport(report, nowMillis);
		for (Command command : this.allocator.plan(view(), nowMillis)) {
			this.commandCount++;
			apply(command, nowMillis);
		}
		return this.leaderMessages.toDelta(report, this.allocator.answer(report, view(), nowMillis));
	}

	// What the leader sends without a further report, by the number of the entry host.
	Map<Integer, TokenGrants> pushes(long nowMillis) {
		Map<Integer, TokenGrants> messages = new HashMap<>();
		this.allocator.pushes(view(), nowMillis)
			.forEach((report, grants) -> messages.put(numberOf(report.holder()),
					this.leaderMessages.toDelta(report, grants)));
		return messages;
	}

	void granted(int host, TokenGrants message) {
		Host holder = this.hosts.get(host);
		TokenGrants whole = holder.messages.fromDelta(message).orElseThrow();
		if (holder.wallet.applyGrants(whole)) {
			holder.messages.onApplied(whole);
		}
	}

	long commandCount() {
		return this.commandCount;
	}

	private void start(Host host, TeamName team, Map<TeamName, Integer> waiting, long nowMillis) {
		long id = ++this.attempt;
		if (host.wallet.tryAcquire(team, id, nowMillis + DEADLINE_MILLIS, nowMillis)) {
			double lasts = -Math.log(1 - this.random.nextDouble()) * this.rates.requestMillis();
			host.ends.add(new End(nowMillis + (long) lasts, id));
		}
		else {
			waiting.merge(team, 1, Integer::sum);
		}
	}

	private int numberOf(Holder holder) {
		return IntStream.range(0, this.hosts.size())
			.filter((number) -> SampleFleet.holder(number).equals(holder))
			.findFirst()
			.orElseThrow();
	}

	private TokenView view() {
		return new TokenView(this.state.teams(), this.state.holders(), this.state.tokens(), List.of(), List.of());
	}

	private void apply(Command command, long nowMillis) {
		this.state.apply(this.state.index() + 1,
				new Proposal(nowMillis, Optional.empty(), OptionalLong.empty(), command));
	}

	private record End(long atMillis, long attempt) {
	}

	private static final class Host {

		private final LocalTokens wallet;

		private final HolderDeltas messages = new HolderDeltas();

		private final PriorityQueue<End> ends = new PriorityQueue<>(
				(first, second) -> Long.compare(first.atMillis(), second.atMillis()));

		private Host(LocalTokens wallet) {
			this.wallet = wallet;
		}

	}

}
