package io.burdockpin.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import com.google.common.truth.Truth;
import io.burdockpin.core.client.ClientMessage.TokenGrants;
import io.burdockpin.core.client.ClientMessage.TokenReport;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.FleetState;
import io.burdockpin.core.state.Proposal;
import io.burdockpin.core.state.TokenCommand;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that wait although tokens are free. Messages and commits take
 * no time, so that only the delay of the protocol itself is measured.
 */
class TokenWaitTests {

	private static final TeamName TEAM = new TeamName("booking");

	private static final int HOSTS = 7;

	private static final int LIMIT = 40;

	private static final long STEP_MILLIS = 10;

	private static final int TRIALS = 200;

	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void aHolderThatLacksTokensHasThemAsSoonAsTheyAreFree(boolean limitInUse) {
		LongSummaryStatistics withoutPushes = waits(limitInUse, false);
		LongSummaryStatistics withPushes = waits(limitInUse, true);
		System.out.printf(
				"limit in use %s: first token after %.0f ms (at most %d) without pushes, "
						+ "%.0f ms (at most %d) with them%n",
				limitInUse, withoutPushes.getAverage(), withoutPushes.getMax(), withPushes.getAverage(),
				withPushes.getMax());
		Truth.assertThat(withPushes.getAverage()).isLessThan(withoutPushes.getAverage());
	}

	private static LongSummaryStatistics waits(boolean limitInUse, boolean pushing) {
		LongSummaryStatistics waits = new LongSummaryStatistics();
		for (int seed = 0; seed < TRIALS; seed++) {
			waits.accept(new Fleet(seed, pushing).waitMillis(limitInUse));
		}
		return waits;
	}

	/** A leader and seven holders that report once a second at different offsets. */
	private static final class Fleet {

		private final FleetState state = FleetState.empty();

		private final List<LocalTokens> holders = new ArrayList<>();

		private final List<Long> reportOffsetsMillis = new ArrayList<>();

		private final TokenAllocator allocator = new TokenAllocator(TokenSettings.DEFAULT, 1, 0);

		private final RandomGenerator random;

		private final boolean pushing;

		private long nowMillis;

		private Fleet(long seed, boolean pushing) {
			this.random = new SplittableRandom(seed);
			this.pushing = pushing;
			apply(new ConfigurationCommand.CreateTeam(new TeamSpec(TEAM, 1, LIMIT, 0)));
			for (int number = 0; number < HOSTS; number++) {
				apply(new TokenCommand.RegisterHolder(holder(number), new DataCentre("dc-1")));
				this.holders.add(new LocalTokens(holder(number)));
				this.reportOffsetsMillis.add(STEP_MILLIS * this.random.nextInt(100));
			}
		}

		// Holder 0 gets the whole limit, then holder 1 requests a part of it.
		private long waitMillis(boolean limitInUse) {
			this.holders.get(0).updateDemand(Map.of(TEAM, 100));
			pass(5_000);
			for (int attempt = 0; limitInUse && attempt < LIMIT; attempt++) {
				this.holders.get(0).tryAcquire(TEAM, attempt, this.nowMillis + 30_000, this.nowMillis);
			}
			this.holders.get(0).updateDemand(limitInUse ? Map.of(TEAM, 100) : Map.of());
			pass(1_000 + STEP_MILLIS * this.random.nextInt(100));
			this.holders.get(1).updateDemand(Map.of(TEAM, 10));
			report(1);
			long sinceMillis = this.nowMillis;
			for (int ended = 0; !this.holders.get(1).teamsWithIdleTokens(this.nowMillis).contains(TEAM); ended++) {
				this.holders.get(0).release(ended / 5);
				pass(STEP_MILLIS);
			}
			return this.nowMillis - sinceMillis;
		}

		private void pass(long millis) {
			long endMillis = this.nowMillis + millis;
			while (this.nowMillis < endMillis) {
				this.nowMillis += STEP_MILLIS;
				for (int number = 0; number < HOSTS; number++) {
					if (this.nowMillis % 1_000 == this.reportOffsetsMillis.get(number)) {
						report(number);
					}
				}
				if (this.nowMillis % 250 == 0) {
					round();
				}
			}
		}

		private void report(int number) {
			TokenReport report = this.holders.get(number).nextReport(this.nowMillis);
			this.allocator.onReport(report, this.nowMillis);
			round();
			TokenGrants grants = this.allocator.answer(report, view(), this.nowMillis);
			Truth.assertThat(this.holders.get(number).applyGrants(grants)).isTrue();
		}

		private void round() {
			this.allocator.plan(view(), this.nowMillis).forEach(this::apply);
			if (this.pushing) {
				this.allocator.pushes(view(), this.nowMillis)
					.forEach((report, grants) -> holderTokens(report.holder()).applyGrants(grants));
			}
		}

		private LocalTokens holderTokens(Holder holder) {
			return this.holders.get(Integer.parseInt(holder.host().value().substring("entry-".length())));
		}

		private TokenView view() {
			return new TokenView(this.state.teams(), this.state.holders(), this.state.tokens(), List.of(), List.of());
		}

		private void apply(Command command) {
			this.state.apply(this.state.index() + 1,
					new Proposal(this.nowMillis, Optional.empty(), OptionalLong.empty(), command));
		}

		private static Holder holder(int number) {
			return new Holder(new HostName("entry-" + number), 1);
		}

	}

}
