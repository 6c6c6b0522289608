package io.burdockpin.core.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import io.burdockpin.core.client.ClientMessage.HolderForgotten;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ClientMessage.TokenReport;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.FleetState;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.Proposal;
import io.burdockpin.core.state.TokenCommand;

/**
 * Simulates seven entry hosts, a leader and a lossy network in virtual time. The attempts
 * that actually run are recorded independently of the tokens of the hosts and of the
 * replicated state.
 */
final class SimulatedFleet {

	static final int HOSTS = 7;

	/** Largest clock drift. Two clocks differ by less than the margin of a fifth. */
	private static final double MAXIMUM_DRIFT = 0.06;

	private static final long STEP_MILLIS = 50;

	private static final long DEPOSED_MILLIS = 1_000;

	final List<SimulatedHost> hosts = new ArrayList<>();

	final FleetState state = FleetState.empty();

	final Set<DataCentre> partitioned = new HashSet<>();

	final Map<TeamName, Integer> limits = new TreeMap<>();

	int deltaReportCount;

	int startedIncarnationCount;

	int pushedCount;

	private final RandomGenerator random;

	private final TokenFault fault;

	private final int dataCentres;

	private final double lossFraction;

	private final PriorityQueue<Event> events = new PriorityQueue<>(Event.ORDER);

	private final Map<Long, Running> running = new HashMap<>();

	private final List<Leader> leaders = new ArrayList<>();

	private long nowMillis = 1_000_000;

	private long eventNumber;

	private long lastAttempt;

	SimulatedFleet(long seed, int dataCentres, double lossFraction, TokenFault fault) {
		this.random = new SplittableRandom(seed);
		this.dataCentres = dataCentres;
		this.lossFraction = lossFraction;
		this.fault = fault;
		for (int number = 0; number < HOSTS; number++) {
			double rate = (fault == TokenFault.CLOCK_OUTSIDE_MARGIN) ? 0.5 : drift();
			this.hosts.add(new SimulatedHost(number, dataCentres, rate));
		}
		changeLeader();
	}

	// changes

	void apply(Command command) {
		this.state.apply(this.state.index() + 1,
				new Proposal(this.nowMillis, Optional.empty(), OptionalLong.empty(), command));
		boolean released = (command instanceof TokenCommand.RegisterHolder
				&& this.fault == TokenFault.ENDED_INCARNATION_RELEASED_AT_ONCE)
				|| (command instanceof TokenCommand.ForgetHost
						&& this.fault == TokenFault.FORGOTTEN_INCARNATION_RELEASED_AT_ONCE);
		if (released) {
			this.state.holders()
				.stream()
				.filter((record) -> record.blocked())
				.forEach((record) -> apply(new TokenCommand.ReleaseHolder(record.holder())));
		}
	}

	void changeLeader() {
		DataCentre home = dataCentre();
		while (this.partitioned.contains(home)) {
			home = dataCentre();
		}
		this.leaders
			.forEach((leader) -> leader.endMillis = Math.min(leader.endMillis, this.nowMillis + DEPOSED_MILLIS));
		long sinceMillis = (this.fault == TokenFault.NO_WAIT_AFTER_LEADER_CHANGE) ? -1_000_000 : 0;
		double rate = drift();
		TokenAllocator allocator = new TokenAllocator(TokenSettings.DEFAULT, this.leaders.size() + 1,
				(long) (this.nowMillis * rate) + sinceMillis);
		this.leaders.add(new Leader(home, rate, allocator, view()));
	}

	void restart(SimulatedHost host) {
		host.restart(host.holder.incarnation() + 1);
	}

	/** Forgets a running host. An operator may do so only while it is not partitioned. */
	void forget(SimulatedHost host) {
		if (host.registered && !isForgotten(host) && !this.partitioned.contains(host.dataCentre)) {
			apply(new TokenCommand.ForgetHost(host.holder.host()));
		}
	}

	// A host that is partitioned before it learns that it was forgotten keeps its tokens
	// forever. Only the operator can prevent that, so the protocol does not cover it.
	void partition(int count) {
		if (this.hosts.stream().anyMatch(this::isForgotten)) {
			return;
		}
		while (this.partitioned.size() < count) {
			this.partitioned.add(dataCentre());
		}
		if (this.partitioned.contains(current().home)) {
			changeLeader();
		}
	}

	void step(Map<TeamName, Double> startsPerStep) {
		this.nowMillis += STEP_MILLIS;
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= this.nowMillis) {
			this.events.poll().action().run();
		}
		this.running.values().removeIf((running) -> running.endMillis() <= this.nowMillis);
		this.hosts.forEach((host) -> stepHost(host, startsPerStep));
		if (this.nowMillis % 250 == 0) {
			round(current());
		}
		this.limits.forEach(this::checkLimit);
	}

	void changeJobs() {
		TeamName team = this.limits.keySet()
			.stream()
			.sorted()
			.skip(this.random.nextInt(this.limits.size()))
			.findFirst()
			.orElseThrow();
		apply(new JobCommand.SubmitJob(new JobId("j-" + this.nowMillis),
				new JobSpec(team, new PoolName("p"), new Resources(1, 1, 0), 1, false, true, Payload.EMPTY)));
		JobRecord job = this.state.jobs().get(this.random.nextInt(this.state.jobs().size()));
		if (job.state() == JobState.WAITING) {
			apply(new JobCommand.PlaceJob(job.id(), this.state.hosts().get(0).name(), 1));
		}
		else if (job.state() == JobState.PLACED) {
			apply(new JobCommand.FinishJob(job.id(), 1, true, Payload.EMPTY));
		}
	}

	// access

	int runningOf(TeamName team) {
		return (int) this.running.values().stream().filter((running) -> running.team().equals(team)).count();
	}

	int countOf(TeamName team, boolean reachable) {
		Set<Holder> holders = new HashSet<>();
		this.hosts.stream()
			.filter((host) -> this.partitioned.contains(host.dataCentre) != reachable)
			.forEach((host) -> holders.add(host.holder));
		return countOf(team, holders);
	}

	int countOf(TeamName team, Holder holder) {
		return countOf(team, Set.of(holder));
	}

	// helpers

	private int countOf(TeamName team, Set<Holder> holders) {
		return this.state.tokens()
			.stream()
			.filter((token) -> token.team().equals(team) && holders.contains(token.holder()))
			.mapToInt((token) -> token.count())
			.sum();
	}

	private boolean isForgotten(SimulatedHost host) {
		return host.registered && this.state.holders()
			.stream()
			.noneMatch((record) -> record.holder().equals(host.holder) && !record.blocked());
	}

	private void checkLimit(TeamName team, int limit) {
		long jobs = this.state.jobs()
			.stream()
			.filter((job) -> job.spec().team().equals(team) && job.state().holdsCapacity())
			.count();
		Truth.assertWithMessage("running attempts and jobs of %s at %s ms", team, this.nowMillis)
			.that(runningOf(team) + jobs)
			.isAtMost((long) limit);
	}

	private void stepHost(SimulatedHost host, Map<TeamName, Double> startsPerStep) {
		long localMillis = host.localMillis(this.nowMillis);
		host.tokens.expire(localMillis);
		boolean busy = this.nowMillis < host.demandUntilMillis;
		if (!busy && this.random.nextInt(400) == 0) {
			host.demandUntilMillis = this.nowMillis + 10_000;
		}
		Map<TeamName, Integer> waiting = new HashMap<>();
		startsPerStep.forEach((team, mean) -> {
			double starts = mean * (busy ? 5 : 0.2);
			boolean refused = this.random.nextDouble() < starts && !start(host, team, localMillis);
			if (refused || busy) {
				waiting.put(team, 1 + this.random.nextInt(4));
			}
		});
		host.tokens.updateDemand(waiting);
		if (this.random.nextInt(20) == 0) {
			report(host, localMillis);
		}
	}

	private boolean start(SimulatedHost host, TeamName team, long localMillis) {
		long id = ++this.lastAttempt;
		long remainingMillis = 500 + this.random.nextInt(30_000);
		Optional<LocalTokens> acquired = Stream.concat(host.forgottenTokens.stream(), Stream.of(host.tokens))
			.filter((tokens) -> tokens.tryAcquire(team, id, localMillis + remainingMillis, localMillis))
			.findFirst();
		if (acquired.isEmpty()) {
			return false;
		}
		boolean unknown = this.random.nextInt(5) == 0;
		long lastsMillis = (long) (remainingMillis * drift() * (unknown ? 1 : this.random.nextDouble()));
		this.running.put(id, new Running(team, this.nowMillis + lastsMillis));
		LocalTokens tokens = acquired.get();
		if (!unknown) {
			at(lastsMillis, () -> tokens.release(id));
		}
		else if (this.fault == TokenFault.UNKNOWN_END_RELEASED) {
			at(lastsMillis / 2, () -> tokens.release(id));
		}
		return true;
	}

	private void report(SimulatedHost host, long localMillis) {
		Leader leader = pickLeader();
		if (!host.registered) {
			Holder holder = host.holder;
			send(host, leader, () -> commit(leader, new TokenCommand.RegisterHolder(holder, host.dataCentre)));
			host.registered = this.state.holders().stream().anyMatch((record) -> record.holder().equals(holder));
			return;
		}
		TokenReport report = host.tokens.nextReport(localMillis);
		TokenReport message = host.deltas.toDelta(report, localMillis);
		host.lastSequence = report.sequence();
		send(host, leader, () -> reported(host, leader, message, report));
	}

	private void reported(SimulatedHost host, Leader leader, TokenReport message, TokenReport sent) {
		if (leads(leader)) {
			Optional<TokenReport> completed = leader.deltas.fromDelta(message);
			if (completed.isEmpty()) {
				return;
			}
			TokenReport report = completed.get();
			Truth.assertThat(report).isEqualTo(sent);
			this.deltaReportCount += (message.baseSequence() != 0) ? 1 : 0;
			leader.allocator.onReport(report, leader.localMillis(this.nowMillis));
			round(leader);
			at(commitMillis(), () -> answer(host, leader, report));
		}
	}

	private void answer(SimulatedHost host, Leader leader, TokenReport report) {
		if (leads(leader)) {
			refresh(leader);
			Optional<HolderForgotten> refusal = leader.allocator.refusal(report, leader.view);
			if (refusal.isPresent()) {
				send(host, leader, () -> deliver(host, report.holder(), refusal.get()));
				return;
			}
			TokenGrants grants = leader.allocator.answer(report, leader.view, leader.localMillis(this.nowMillis));
			TokenGrants message = leader.deltas.toDelta(report, grants);
			send(host, leader, () -> deliver(host, report.holder(), message, grants, false));
		}
	}

	private void push(Leader leader) {
		if (!leads(leader)) {
			return;
		}
		refresh(leader);
		leader.allocator.pushes(leader.view, leader.localMillis(this.nowMillis)).forEach((report, grants) -> {
			TokenGrants message = leader.deltas.toDelta(report, grants);
			SimulatedHost host = hostOf(report.holder());
			send(host, leader, () -> {
				boolean applied = deliver(host, report.holder(), message, grants, true);
				this.pushedCount += applied ? 1 : 0;
			});
		});
	}

	private SimulatedHost hostOf(Holder holder) {
		return this.hosts.stream().filter((host) -> host.holder.host().equals(holder.host())).findFirst().orElseThrow();
	}

	private boolean deliver(SimulatedHost host, Holder addressee, TokenGrants message, TokenGrants sent,
			boolean pushed) {
		if (!host.holder.equals(addressee)) {
			return false;
		}
		boolean stale = this.fault == TokenFault.STALE_GRANTS_APPLIED
				|| (pushed && this.fault == TokenFault.STALE_PUSHES_APPLIED);
		if (stale) {
			return host.tokens.applyGrants(new TokenGrants(0, sent.term(), host.lastSequence, ++this.eventNumber,
					sent.leaseMillis(), 0, sent.grants(), List.of()));
		}
		Optional<TokenGrants> granted = host.deltas.fromDelta(message).filter(host.tokens::applyGrants);
		granted.ifPresent((grants) -> {
			Truth.assertThat(grants).isEqualTo(sent);
			host.deltas.onApplied(grants);
		});
		return granted.isPresent();
	}

	private void deliver(SimulatedHost host, Holder addressee, HolderForgotten refusal) {
		if (host.holder.equals(addressee)) {
			Optional<LocalTokens> kept = (this.fault != TokenFault.FORGOTTEN_TOKENS_KEPT) ? Optional.empty()
					: Optional.of(host.tokens);
			if (kept.isPresent()) {
				host.restart(host.holder.incarnation() + 1);
				host.forgottenTokens = kept;
			}
			else {
				host.tokens.onForgotten(refusal).ifPresent(host::startIncarnation);
			}
			this.startedIncarnationCount += host.registered ? 0 : 1;
		}
	}

	private void round(Leader leader) {
		refresh(leader);
		for (Command command : leader.allocator.plan(leader.view, leader.localMillis(this.nowMillis))) {
			commit(leader, command);
		}
		at(commitMillis(), () -> push(leader));
	}

	private void commit(Leader leader, Command command) {
		at(commitMillis(), () -> {
			if (leader == current() && this.random.nextInt(30) != 0) {
				apply(command);
			}
		});
	}

	private void refresh(Leader leader) {
		// A deposed leader does not see the commits of its successor.
		if (leader == current()) {
			leader.view = view();
		}
	}

	private TokenView view() {
		return new TokenView(this.state.teams(), this.state.holders(), this.state.tokens(), this.state.jobs(),
				this.state.hosts());
	}

	private void send(SimulatedHost host, Leader leader, Runnable action) {
		boolean separated = this.partitioned.contains(host.dataCentre) != this.partitioned.contains(leader.home);
		if (!separated && this.random.nextDouble() >= this.lossFraction) {
			at((this.random.nextInt(20) != 0) ? 1 + this.random.nextInt(100) : this.random.nextInt(6_000), action);
			if (this.random.nextDouble() < this.repeatFraction()) {
				at(this.random.nextInt(6_000), action);
			}
		}
	}

	private double repeatFraction() {
		return (this.lossFraction > 0) ? 0.05 : 0;
	}

	private void at(long delayMillis, Runnable action) {
		this.events.add(new Event(this.nowMillis + delayMillis, this.eventNumber++, action));
	}

	private boolean leads(Leader leader) {
		return this.nowMillis < leader.endMillis;
	}

	private Leader pickLeader() {
		int back = (this.random.nextInt(4) == 0) ? Math.min(2, this.leaders.size()) : 1;
		return this.leaders.get(this.leaders.size() - back);
	}

	private Leader current() {
		return this.leaders.get(this.leaders.size() - 1);
	}

	private DataCentre dataCentre() {
		return new DataCentre("dc-" + this.random.nextInt(this.dataCentres));
	}

	private long commitMillis() {
		return 5 + this.random.nextInt(60);
	}

	private double drift() {
		return 1 + MAXIMUM_DRIFT * (2 * this.random.nextDouble() - 1);
	}

	/** A member that leads or has led. */
	private static final class Leader {

		private final DataCentre home;

		private final double clockRate;

		private final TokenAllocator allocator;

		private final LeaderDeltas deltas = new LeaderDeltas();

		private TokenView view;

		private long endMillis = Long.MAX_VALUE;

		private Leader(DataCentre home, double clockRate, TokenAllocator allocator, TokenView view) {
			this.home = home;
			this.clockRate = clockRate;
			this.allocator = allocator;
			this.view = view;
		}

		private long localMillis(long nowMillis) {
			return (long) (nowMillis * this.clockRate);
		}

	}

	private record Running(TeamName team, long endMillis) {

	}

	private record Event(long atMillis, long number, Runnable action) {

		private static final Comparator<Event> ORDER = Comparator.comparingLong(Event::atMillis)
			.thenComparingLong(Event::number);

	}

}
