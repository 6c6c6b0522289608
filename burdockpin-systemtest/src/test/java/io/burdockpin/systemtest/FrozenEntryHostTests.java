package io.burdockpin.systemtest;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.systemtest.check.NotRunCheck;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.Caller;
import io.burdockpin.systemtest.fleet.Caller.Answer;
import io.burdockpin.systemtest.fleet.Caller.CallerRequest;
import io.burdockpin.systemtest.fleet.EntryHost;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.Load;
import io.burdockpin.systemtest.fleet.Operator;
import io.burdockpin.systemtest.fleet.StartRecords;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/**
 * An entry host that was frozen beyond all time-outs does nothing on what it held before.
 */
class FrozenEntryHostTests {

	private static final String KEY = "key-of-the-bookers-0123456789abcdef0123456789abcdef";

	private static final String WITHDRAWN = "key-that-is-withdrawn-0123456789abcdef0123456789abcdef";

	private static final TeamName TEAM = new TeamName("bookers");

	private static final int UPPER_LIMIT = 6;

	private static final long SERVICE_MILLIS = 250;

	private static final long SLOW_SERVICE_MILLIS = 1500;

	private static final long TIMEOUT_MILLIS = 3_000;

	private static final int TOKEN_LEASE_MILLIS = 5_000;

	/** Lease with margin, attachment, deadlines and elections are all shorter. */
	private static final Duration FREEZE = Duration.ofSeconds(10);

	/** A resend carries the same identifier. */
	private static final long START_SECONDS = System.currentTimeMillis() / 1000;

	private static Fleet fleet;

	private static Operator operator;

	@BeforeAll
	static void startFleet() {
		fleet = Fleet.start("frozen", 2, Map.of("tokenLeaseMillis", TOKEN_LEASE_MILLIS));
		operator = new Operator(fleet.entries());
		operator.change("create-team", new ConfigurationCommand.CreateTeam(new TeamSpec(TEAM, 1, UPPER_LIMIT, 0)));
		for (String key : List.of(KEY, WITHDRAWN)) {
			operator.change("grant-" + key.length(), new ConfigurationCommand.GrantKey(TEAM, KeyHash.of(key), "test"));
		}
		for (String queue : List.of("limited", "calls")) {
			operator.change("create-" + queue,
					new ConfigurationCommand.CreateQueue(new QueueName(queue), queue.equals("calls")));
		}
		for (int number = 0; number < 2; number++) {
			fleet.startRunner("limited" + number, "limited", number, SERVICE_MILLIS);
			fleet.startRunner("calls" + number, "calls", number, SLOW_SERVICE_MILLIS);
		}
		fleet.awaitSameConfiguration();
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	/**
	 * Guards against a host that goes on where it stopped: tokens that another host uses
	 * meanwhile, a key that it does not know to be withdrawn, an answer of which the
	 * caller has been told otherwise.
	 */
	@Test
	void itRefusesTheWithdrawnKeyKeepsTheLimitAndAnswersNothingLate() {
		EntryHost frozen = fleet.entries().get(0);
		EntryHost other = fleet.entries().get(1);
		Load load = new Load(new Caller("limited", Optional.of(KEY)), "limited", true, TIMEOUT_MILLIS);
		fleet.entries().forEach((entry) -> load.start(entry, 8));
		load.awaitServed(20);
		// Single requests may wait for the limit until their deadline.
		AtomicInteger attempts = new AtomicInteger();
		Await.until("an answer with the key that is withdrawn later",
				() -> send(frozen, "limited", Optional.of(WITHDRAWN), "before-" + attempts.incrementAndGet(), true)
					.join()
					.isOwnEcho());
		List<CompletableFuture<Answer>> inFlight = sendSingles(frozen);
		Await.until("starts of requests in flight", () -> records("calls").startedIds().size() >= 4);
		frozen.process().freeze();
		operator = new Operator(List.of(other));
		operator.withdraw("withdraw", KeyHash.of(WITHDRAWN));
		List<CompletableFuture<Answer>> resent = sendSingles(other);
		Await.pass(FREEZE);
		// These wait at the frozen host, so that it meets them first when it resumes.
		List<CompletableFuture<Answer>> withdrawn = new ArrayList<>();
		for (int number = 0; number < 10; number++) {
			withdrawn.add(send(frozen, "limited", Optional.of(WITHDRAWN), "withdrawn-" + number, true));
		}
		frozen.process().resume();
		List<Answer> refused = withdrawn.stream().map(CompletableFuture::join).toList();
		load.awaitServed(40);
		List<Answer> answers = new ArrayList<>(load.stop());
		Truth.assertThat(refused.stream().filter((answer) -> !answer.hasCode("KEY_WITHDRAWN")).toList()).isEmpty();
		Truth.assertThat(records("limited").startedIds().stream().filter((id) -> id.contains("withdrawn")).toList())
			.isEmpty();
		Truth.assertThat(records("limited").largestOverlap()).isAtMost(UPPER_LIMIT);
		List<Answer> late = inFlight.stream().map(CompletableFuture::join).toList();
		Truth.assertThat(late.stream().filter(Answer::isOwnEcho).toList()).isEmpty();
		answers.addAll(late);
		answers.addAll(refused);
		resent.forEach((answer) -> answers.add(answer.join()));
		Truth.assertThat(records("calls").idsStartedTwice()).isEmpty();
		Truth.assertThat(NotRunCheck.falseRefusals(answers, StartRecords.of(fleet.runners()))).isEmpty();
		Await.until("service through the resumed host",
				() -> send(frozen, "limited", Optional.of(KEY), "after", true).join().isOwnEcho());
	}

	// helpers

	private static List<CompletableFuture<Answer>> sendSingles(EntryHost entry) {
		List<CompletableFuture<Answer>> sent = new ArrayList<>();
		for (int number = 0; number < 4; number++) {
			sent.add(send(entry, "calls", Optional.empty(), "single-" + number, false));
		}
		return sent;
	}

	private static CompletableFuture<Answer> send(EntryHost entry, String queue, Optional<String> key, String name,
			boolean repeatable) {
		return new Caller(queue, key).send(entry,
				new CallerRequest(START_SECONDS + "-" + name, "body of " + name, repeatable, TIMEOUT_MILLIS));
	}

	private static StartRecords records(String queue) {
		return StartRecords.of(fleet.runners().stream().filter((runner) -> runner.queue().equals(queue)).toList());
	}

}
