package io.burdockpin.systemtest;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.Caller;
import io.burdockpin.systemtest.fleet.Caller.Answer;
import io.burdockpin.systemtest.fleet.ControlMember;
import io.burdockpin.systemtest.fleet.EntryHost;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.Load;
import io.burdockpin.systemtest.fleet.Operator;
import io.burdockpin.systemtest.fleet.OperatorConsole;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Rehearses "Upgrade" and "Replacing a control host" of the operations page. */
class UpgradeRehearsalTests {

	private static final String QUEUE = "calls";

	private static final long TIMEOUT_MILLIS = 20_000;

	private static final Pattern INCARNATION = Pattern.compile("Member \\S+ has incarnation (\\d+)\\.");

	private static Fleet fleet;

	private static OperatorConsole console;

	@BeforeAll
	static void startFleet() {
		fleet = Fleet.start("upgrade", 2, 4096);
		console = new OperatorConsole(fleet.entries());
		new Operator(fleet.entries()).change("create-queue",
				new ConfigurationCommand.CreateQueue(new QueueName(QUEUE), true));
		fleet.awaitSameConfiguration();
		fleet.startRunner("r1", QUEUE, 0, 50);
		fleet.startRunner("r2", QUEUE, 1, 50);
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	/**
	 * Guards against an upgrade that loses or refuses requests although the page is
	 * followed: followers, leader, entry hosts, one at a time.
	 */
	@Test
	void aRestartOfAllProcessesOneByOneUnderLoadLosesAndRefusesNoRequest() {
		Load once = new Load(new Caller(QUEUE, Optional.empty()), "members", false, TIMEOUT_MILLIS);
		fleet.entries().forEach((entry) -> once.start(entry, 2));
		once.awaitServed(4);
		List<ControlMember> order = new ArrayList<>(fleet.followers());
		order.add(fleet.leader());
		order.forEach(UpgradeRehearsalTests::restart);
		once.awaitServed(20);
		List<Answer> answers = new ArrayList<>(once.stop());
		answers.addAll(restart(fleet.entries().get(0), fleet.entries().get(1)));
		answers.addAll(restart(fleet.entries().get(1), fleet.entries().get(0)));
		Truth.assertThat(answers.stream().filter((answer) -> !answer.isOwnEcho()).toList()).isEmpty();
		fleet.awaitSameConfiguration();
		Truth.assertThat(fleet.brokenPromises()).isEmpty();
	}

	/** Guards against commands of the page that do not replace a member. */
	@Test
	void theCommandsOfThePageReplaceAControlHostThatLostItsDisk() {
		ControlMember replaced = fleet.followers().get(0);
		replaced.process().terminate();
		replaced.wipe();
		replaced.process().start();
		Await.until("a start without admission", () -> replaced.health().says("admitted", "false"));
		List<MatchResult> incarnations = INCARNATION.matcher(replaced.process().output()).results().toList();
		String incarnation = incarnations.get(incarnations.size() - 1).group(1);
		console.run(OperatorConsole.example("member replace NAME")
			.replace("NAME", replaced.name())
			.replace("IP:PORT", replaced.memberAddress())
			.replace(" N ", " " + incarnation + " "));
		Await.until("a vote of the replacement", () -> console.run("member list")
			.lines()
			.anyMatch(
					(line) -> line.startsWith(replaced.name()) && line.contains(incarnation) && line.contains("true")));
	}

	// helpers

	private static void restart(ControlMember member) {
		Truth.assertThat(member.process().terminate()).isEqualTo(0);
		member.process().start();
		Await.until("a member that has caught up", () -> member.health().number("commitIndex") > 0
				&& member.health().number("lastIndex") >= fleet.leader().health().number("commitIndex"));
	}

	// A balancer stops sending to an entry host while it still takes requests.
	private static List<Answer> restart(EntryHost entry, EntryHost other) {
		Load here = new Load(new Caller(QUEUE, Optional.empty()), "here-" + entry.name(), false, TIMEOUT_MILLIS)
			.start(entry, 3);
		Load there = new Load(new Caller(QUEUE, Optional.empty()), "there-" + entry.name(), false, TIMEOUT_MILLIS)
			.start(other, 3);
		here.awaitServed(6);
		entry.process().askToEnd();
		List<Answer> answers = new ArrayList<>(here.stop());
		Truth.assertThat(entry.process().awaitEnd()).isEqualTo(0);
		entry.process().start();
		Await.until("a ready entry host", () -> entry.health().number("configurationIndex") > 0);
		there.awaitServed(6);
		answers.addAll(there.stop());
		return answers;
	}

}
