package io.burdockpin.systemtest;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.TeamRecord;
import io.burdockpin.operator.OperatorException;
import io.burdockpin.operator.OperatorExit;
import io.burdockpin.operator.client.HttpEntryCaller;
import io.burdockpin.operator.client.OperatorClient;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.EntryHost;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.LossyCaller;
import io.burdockpin.systemtest.fleet.Operator;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Two operators change the same object at once from two entry hosts. */
class RacingOperatorsTests {

	private static final TeamName TEAM = new TeamName("contested");

	private static final int ROUNDS = 80;

	/** Both answers of a round are lost often enough to see each order of resends. */
	private static final int LOSS_PERCENT = 40;

	private static Fleet fleet;

	private static Operator observer;

	@BeforeAll
	static void startFleet() {
		fleet = Fleet.start("race", 2, 4096);
		observer = new Operator(fleet.entries());
		observer.change("create-team", new ConfigurationCommand.CreateTeam(new TeamSpec(TEAM, 1, 1000, 0)));
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	/**
	 * Guards against two accepted changes for one expected version, a loser that is not
	 * told, and a resend that is applied again.
	 */
	@Test
	void exactlyOneOfEachPairIsAcceptedAndTheOtherIsToldSo() {
		Racer first = new Racer("first", 0, 1);
		Racer second = new Racer("second", 1, 2);
		int firstWins = 0;
		for (int round = 1; round <= ROUNDS; round++) {
			long version = team().version();
			int current = round;
			// The one on this thread has a head start, so it is each in turn.
			Racer late = (round % 2 == 0) ? first : second;
			Racer early = (round % 2 == 0) ? second : first;
			CompletableFuture<Optional<Long>> lateAnswer = CompletableFuture
				.supplyAsync(() -> late.update(current, version));
			Optional<Long> earlyVersion = early.update(current, version);
			Optional<Long> lateVersion = lateAnswer.join();
			Optional<Long> firstVersion = (early == first) ? earlyVersion : lateVersion;
			Optional<Long> secondVersion = (early == first) ? lateVersion : earlyVersion;
			Truth.assertWithMessage("round %s", round)
				.that(List.of(firstVersion.isPresent(), secondVersion.isPresent()))
				.containsExactly(true, false);
			Racer winner = firstVersion.isPresent() ? first : second;
			firstWins += firstVersion.isPresent() ? 1 : 0;
			TeamRecord expected = new TeamRecord(winner.spec(round),
					firstVersion.or(() -> secondVersion).orElseThrow());
			Truth.assertWithMessage("round %s", round).that(team()).isEqualTo(expected);
			Truth.assertThat(first.update(round, version)).isEqualTo(firstVersion);
			Truth.assertThat(second.update(round, version)).isEqualTo(secondVersion);
			Truth.assertWithMessage("after resends in round %s", round).that(team()).isEqualTo(expected);
		}
		Truth.assertThat(firstWins).isGreaterThan(0);
		Truth.assertThat(firstWins).isLessThan(ROUNDS);
		Truth.assertThat(first.lostCount() + second.lostCount()).isGreaterThan(ROUNDS / 2);
	}

	private static TeamRecord team() {
		return observer.configuration()
			.teams()
			.stream()
			.filter((team) -> team.spec().name().equals(TEAM))
			.findFirst()
			.orElseThrow();
	}

	/** An operator at one entry host, who turns to the other when an answer is lost. */
	private static final class Racer {

		private final String name;

		private final int number;

		private final List<String> entries;

		private final LossyCaller caller;

		Racer(String name, int number, long seed) {
			this.name = name;
			this.number = number;
			List<String> urls = fleet.entries().stream().map(EntryHost::url).toList();
			this.entries = List.of(urls.get(number), urls.get(1 - number));
			this.caller = new LossyCaller(new HttpEntryCaller(HttpClient.newHttpClient(), Duration.ofSeconds(10)), seed,
					LOSS_PERCENT);
		}

		TeamSpec spec(int round) {
			return new TeamSpec(TEAM, 1, 1000 + 2 * round + this.number, 0);
		}

		/** Returns the version after the change, or nothing if the other was first. */
		Optional<Long> update(int round, long expectedVersion) {
			return Await.value("an answer for " + this.name, () -> attempt(round, expectedVersion));
		}

		int lostCount() {
			return this.caller.lostCount();
		}

		private Optional<Optional<Long>> attempt(int round, long expectedVersion) {
			OperatorClient client = new OperatorClient(this.entries, this.caller,
					new RequestId(this.name + "-" + round), OptionalLong.of(expectedVersion));
			try {
				return Optional
					.of(Optional.of(client.change(new ConfigurationCommand.UpdateTeam(spec(round))).version()));
			}
			catch (OperatorException ex) {
				if (ex.getExit() == OperatorExit.OUTCOME_UNKNOWN) {
					return Optional.empty();
				}
				Truth.assertThat(ex.getCode()).isEqualTo(ErrorCode.VERSION_CONFLICT);
				return Optional.of(Optional.empty());
			}
		}

	}

}
