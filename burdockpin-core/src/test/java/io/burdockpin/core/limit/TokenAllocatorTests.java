package io.burdockpin.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ClientMessage.TokenReport;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.FleetState;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.Proposal;
import io.burdockpin.core.state.TokenCommand;
import org.junit.jupiter.api.Test;

/** Guards against tokens that stay unused, or that move before their holder agrees. */
class TokenAllocatorTests {

	private static final TeamName TEAM = new TeamName("booking");

	private static final int LIMIT = 40;

	private final FleetState state = FleetState.empty();

	private final List<LocalTokens> hosts = new ArrayList<>();

	private final TokenAllocator allocator = new TokenAllocator(TokenSettings.DEFAULT, 1, 0);

	private long nowMillis;

	TokenAllocatorTests() {
		apply(new ConfigurationCommand.CreateTeam(new TeamSpec(TEAM, 1, LIMIT, 0)));
		for (int number = 0; number < 7; number++) {
			Holder holder = new Holder(new HostName("entry-" + number), 1);
			apply(new TokenCommand.RegisterHolder(holder, new DataCentre("dc-1")));
			this.hosts.add(new LocalTokens(holder));
		}
	}

	@Test
	void demandAtOneHostMovesTheWholeLimitThere() {
		rounds(6);
		this.hosts.get(3).updateDemand(Map.of(TEAM, 100));
		rounds(3);
		Truth.assertThat(countOf(3)).isEqualTo(LIMIT);
	}

	@Test
	void hostsWithEqualDemandGetEqualShares() {
		this.hosts.forEach((host) -> host.updateDemand(Map.of(TEAM, 100)));
		rounds(4);
		for (int number = 0; number < 7; number++) {
			Truth.assertThat(countOf(number)).isAtLeast(LIMIT / 7);
		}
	}

	@Test
	void idleHostsCauseNoCommandsOnceTheBaseSharesAreGranted() {
		rounds(3);
		Truth.assertThat(countOf(0)).isEqualTo(LIMIT / 8);
		Truth.assertThat(this.allocator.plan(view(), this.nowMillis)).isEmpty();
	}

	@Test
	void tokensInUseStayUntilTheirAttemptsEnd() {
		this.hosts.get(0).updateDemand(Map.of(TEAM, 100));
		rounds(3);
		for (int attempt = 0; attempt < LIMIT; attempt++) {
			this.hosts.get(0).tryAcquire(TEAM, attempt, this.nowMillis + 1000, this.nowMillis);
		}
		this.hosts.get(0).updateDemand(Map.of());
		this.hosts.get(1).updateDemand(Map.of(TEAM, 100));
		rounds(1);
		Truth.assertThat(countOf(0)).isEqualTo(LIMIT);
		this.hosts.get(0).release(7);
		rounds(3);
		Truth.assertThat(countOf(0)).isEqualTo(LIMIT - 1);
		Truth.assertThat(countOf(1)).isEqualTo(1);
	}

	@Test
	void aLowerLimitIsReachedByReturningTokens() {
		rounds(3);
		apply(new ConfigurationCommand.UpdateTeam(new TeamSpec(TEAM, 1, 8, 0)));
		rounds(3);
		Truth.assertThat(this.state.tokens().stream().mapToInt((token) -> token.count()).sum()).isAtMost(8);
	}

	@Test
	void aRequestThatOutlivesTheLeaseNeedsAnOwnedToken() {
		this.hosts.get(0).updateDemand(Map.of(TEAM, 100));
		rounds(3);
		int taken = 0;
		for (int attempt = 0; attempt < LIMIT; attempt++) {
			taken += this.hosts.get(0).tryAcquire(TEAM, attempt, this.nowMillis + 60_000, this.nowMillis) ? 1 : 0;
		}
		Truth.assertThat(taken).isEqualTo(LIMIT / 8);
	}

	@Test
	void jobsThatFitOnNoHostLeaveTheWholeLimitToRequests() {
		PoolName pool = new PoolName("office");
		apply(new ConfigurationCommand.CreatePool(pool, AvailabilityBudget.DEFAULT, false));
		for (int number = 0; number < LIMIT; number++) {
			JobSpec spec = new JobSpec(TEAM, pool, new Resources(2_000, 100, 0), 1_000, false, true, Payload.EMPTY);
			apply(new JobCommand.SubmitJob(new JobId("j-" + number), spec));
		}
		rounds(6);
		this.hosts.get(3).updateDemand(Map.of(TEAM, 100));
		rounds(3);
		Truth.assertThat(countOf(3)).isEqualTo(LIMIT);
		addHost(pool, "too-small", 1_000);
		rounds(6);
		Truth.assertThat(countOf(3)).isEqualTo(LIMIT);
		addHost(pool, "large-enough", 2_000);
		rounds(6);
		Truth.assertThat(countOf(3)).isLessThan(LIMIT);
	}

	@Test
	void anOlderProcessWithTheSameNameIsNotMadeToReplaceTheNewerOne() {
		Holder older = new Holder(new HostName("entry-0"), 1);
		TokenReport report = this.hosts.get(0).nextReport(this.nowMillis);
		apply(new TokenCommand.ForgetHost(older.host()));
		Truth.assertThat(this.allocator.refusal(report, view())).isPresent();
		apply(new TokenCommand.RegisterHolder(new Holder(older.host(), 5), new DataCentre("dc-1")));
		Truth.assertThat(this.allocator.refusal(report, view())).isEmpty();
		apply(new TokenCommand.RegisterHolder(new Holder(older.host(), 2), new DataCentre("dc-1")));
		Truth.assertThat(
				this.state.holders().stream().filter((record) -> !record.blocked()).map((record) -> record.holder()))
			.contains(new Holder(older.host(), 5));
	}

	@Test
	void theTokensOfAForgottenHostThatStillReportsAreNotReleased() {
		rounds(3);
		apply(new TokenCommand.ForgetHost(new HostName("entry-0")));
		for (int second = 0; second < 100; second++) {
			this.nowMillis += 1000;
			this.allocator.onReport(this.hosts.get(0).nextReport(this.nowMillis), this.nowMillis);
			this.allocator.plan(view(), this.nowMillis).forEach(this::apply);
		}
		Truth.assertThat(countOf(0)).isEqualTo(LIMIT / 8);
		this.nowMillis += 72_000;
		this.allocator.plan(view(), this.nowMillis).forEach(this::apply);
		Truth.assertThat(countOf(0)).isEqualTo(0);
	}

	private void addHost(PoolName pool, String name, int cpuMillicores) {
		HostSpec spec = new HostSpec(new HostName(name), new DataCentre("dc-1"), new Rack("rack-1"),
				new Resources(cpuMillicores, 1_000, 0));
		apply(new ConfigurationCommand.AddHost(spec, pool));
	}

	private void rounds(int count) {
		for (int round = 0; round < count; round++) {
			this.nowMillis += 1000;
			List<TokenReport> reports = this.hosts.stream().map((host) -> host.nextReport(this.nowMillis)).toList();
			reports.forEach((report) -> this.allocator.onReport(report, this.nowMillis));
			this.allocator.plan(view(), this.nowMillis).forEach(this::apply);
			for (int number = 0; number < 7; number++) {
				TokenGrants grants = this.allocator.answer(reports.get(number), view(), this.nowMillis);
				Truth.assertThat(this.hosts.get(number).applyGrants(grants)).isTrue();
			}
		}
	}

	private int countOf(int number) {
		return this.state.tokens()
			.stream()
			.filter((token) -> token.holder().host().value().equals("entry-" + number))
			.mapToInt((token) -> token.count())
			.sum();
	}

	private TokenView view() {
		return new TokenView(this.state.teams(), this.state.holders(), this.state.tokens(), this.state.jobs(),
				this.state.hosts());
	}

	private void apply(Command command) {
		this.state.apply(this.state.index() + 1,
				new Proposal(this.nowMillis, Optional.empty(), OptionalLong.empty(), command));
	}

}
