package io.burdockpin.operator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.truth.Truth;
import io.burdockpin.core.client.QueryResult;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.PoolRecord;
import io.burdockpin.operator.action.Action;
import io.burdockpin.operator.action.ActionGroup;
import io.burdockpin.operator.output.CodeExplanation;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against changes that are lost, made twice or reported wrongly, and leaked keys.
 */
class OperatorProgramTests {

	private static final String FIRST = "127.1.0.1:8080";

	private static final String SECOND = "127.2.0.1:8080";

	private static final OperatorReply CHANGED = new OperatorReply.Changed(7, 3, List.of());

	private final FakeEntries entries = new FakeEntries();

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

	@TempDir
	private Path folder;

	@BeforeEach
	void bothEntryHostsAccept() {
		this.entries.answer(FIRST, CHANGED);
		this.entries.answer(SECOND, CHANGED);
	}

	@Test
	void anAcceptedChangeEndsWithSuccessAndItsVersion() {
		Truth.assertThat(run("pool", "create", "office")).isEqualTo(OperatorExit.SUCCESS);
		Truth.assertThat(this.output.toString()).isEqualTo("pool office: done, version 3\n");
		Truth.assertThat(this.entries.calledEntries()).containsExactly(FIRST);
	}

	@Test
	void theNextEntryHostIsTriedWhenTheFirstCannotBeReached() {
		this.entries.answer(FIRST, (request) -> {
			throw new io.burdockpin.operator.client.EntryCaller.NotSentException("cannot connect", null);
		});
		Truth.assertThat(run("pool", "create", "office")).isEqualTo(OperatorExit.SUCCESS);
		Truth.assertThat(this.entries.calledEntries()).containsExactly(FIRST, SECOND).inOrder();
	}

	@Test
	void aLostAnswerIsResentElsewhereWithTheSameIdentifier() {
		this.entries.answer(FIRST, (request) -> {
			throw new IOException("reset");
		});
		Truth.assertThat(run("pool", "create", "office")).isEqualTo(OperatorExit.SUCCESS);
		Truth.assertThat(this.entries.requests().get(0)).isEqualTo(this.entries.requests().get(1));
	}

	@Test
	void anUnknownOutcomeIsNeverReportedAsARefusal() {
		this.entries.answer(FIRST, (request) -> {
			throw new IOException("reset");
		});
		this.entries.answer(SECOND, OperatorReply.Failed.of(ErrorCode.NO_MAJORITY, "no majority"));
		OperatorExit exit = run("pool", "create", "office", "--request-id", "17-abc");
		Truth.assertThat(exit).isEqualTo(OperatorExit.OUTCOME_UNKNOWN);
		Truth.assertThat(this.errors.toString()).contains("--request-id 17-abc");
	}

	@Test
	void noReachableEntryHostIsDistinctFromARefusal() {
		Truth.assertThat(runRaw("pool", "create", "office", "--entry", "127.9.0.1:1"))
			.isEqualTo(OperatorExit.UNREACHABLE);
	}

	@Test
	void aRefusalIsFinalAndNamesItsCode() {
		this.entries.answer(FIRST, OperatorReply.Failed.of(ErrorCode.VERSION_CONFLICT, "version is 4"));
		Truth.assertThat(run("pool", "create", "office", "--expect-version", "3")).isEqualTo(OperatorExit.REFUSED);
		Truth.assertThat(this.entries.calledEntries()).containsExactly(FIRST);
		Truth.assertThat(this.errors.toString()).contains("VERSION_CONFLICT: version is 4");
		OperatorRequest.Change change = (OperatorRequest.Change) this.entries.requests().get(0);
		Truth.assertThat(change.expectedVersion().getAsLong()).isEqualTo(3);
	}

	@Test
	void aNewKeyIsShownOnceAndOnlyItsHashIsSent() {
		Truth.assertThat(run("key", "grant", "booking", "--json")).isEqualTo(OperatorExit.SUCCESS);
		String key = json().get("key").asText();
		ConfigurationCommand.GrantKey grant = (ConfigurationCommand.GrantKey) onlyCommand();
		Truth.assertThat(grant.keyHash()).isEqualTo(KeyHash.of(key));
		Truth.assertThat(this.entries.allBodies()).doesNotContain(key);
	}

	@Test
	void aKeyWrittenToAFileIsReadableByItsOwnerOnlyAndNotShown() throws IOException {
		Path file = this.folder.resolve("booking.key");
		run("key", "grant", "booking", "--output", file.toString());
		String key = Files.readString(file).strip();
		Truth.assertThat(this.output.toString()).doesNotContain(key);
		Truth.assertThat(PosixFilePermissions.toString(Files.getPosixFilePermissions(file))).isEqualTo("rw-------");
	}

	@Test
	void aRefusedKeyLeavesNoFile() {
		this.entries.answer(FIRST, OperatorReply.Failed.of(ErrorCode.UNKNOWN_TEAM, "team booking does not exist"));
		Path file = this.folder.resolve("booking.key");
		run("key", "grant", "booking", "--output", file.toString());
		Truth.assertThat(Files.exists(file)).isFalse();
	}

	@Test
	void aKeyIsNotTakenFromTheCommandLine() {
		Truth.assertThat(run("key", "grant", "booking", "--key", "secret")).isEqualTo(OperatorExit.USAGE);
	}

	@Test
	void aShortKeyIsRefusedWithoutRepeatingIt() throws IOException {
		Path file = Files.writeString(this.folder.resolve("short"), "hunter2\n");
		Truth.assertThat(run("key", "withdraw", "--key-file", file.toString())).isEqualTo(OperatorExit.USAGE);
		Truth.assertThat(this.errors.toString()).doesNotContain("hunter2");
	}

	@Test
	void aWithdrawalNamesTheDataCentresThatHaveNotConfirmed() {
		this.entries.answer(FIRST, new OperatorReply.Withdrawn(true, List.of(new DataCentre("dc2"))));
		run("key", "withdraw", "--hash", "0".repeat(64));
		Truth.assertThat(this.errors.toString()).contains("not confirmed yet in data centre dc2");
	}

	@Test
	void aListIsPrintedAsATableOrAsJson() {
		answerPools(true);
		run("pool", "list");
		Truth.assertThat(this.output.toString()).startsWith("pool    hosts  minimumInServicePercent");
		this.output.reset();
		run("pool", "list", "--json");
		Truth.assertThat(json().get(0).get("pool").asText()).isEqualTo("office");
		Truth.assertThat(json().get(0).get("minimumInServicePercent").asInt()).isEqualTo(90);
	}

	@Test
	void anAnswerWithoutAMajorityIsMarkedAsStale() {
		answerPools(false);
		run("pool", "list");
		Truth.assertThat(this.errors.toString()).contains("may be stale (index 9)");
	}

	@Test
	void forgettingAHostSendsNoConfigurationChange() {
		run("host", "forget", "e7");
		OperatorRequest.ForgetHolder request = (OperatorRequest.ForgetHolder) this.entries.requests().get(0);
		Truth.assertThat(request.host()).isEqualTo(new HostName("e7"));
	}

	@Test
	void wrongValuesAndAddressesAreUsageErrors() {
		Truth.assertThat(run("team", "create", "booking", "--share", "0", "--limit", "5"))
			.isEqualTo(OperatorExit.USAGE);
		Truth.assertThat(runRaw("pool", "list", "--entry", "host.example")).isEqualTo(OperatorExit.USAGE);
		Truth.assertThat(runRaw("pool", "list")).isEqualTo(OperatorExit.USAGE);
		Truth.assertThat(run("pool", "paint")).isEqualTo(OperatorExit.USAGE);
		Truth.assertThat(this.entries.requests()).isEmpty();
	}

	@Test
	void everyErrorCodeIsExplained() {
		for (ErrorCode code : ErrorCode.values()) {
			Truth.assertThat(CodeExplanation.of(code)).hasSize(2);
		}
		Truth.assertThat(runRaw("explain", "code", "key_withdrawn")).isEqualTo(OperatorExit.SUCCESS);
		Truth.assertThat(this.output.toString()).contains("Grant the team a new key");
	}

	@Test
	void everyActionHasHelpAndAUniqueVerb() {
		for (ActionGroup group : ActionGroup.values()) {
			Truth.assertThat(group.actions().stream().map(Action::verb).toList()).containsNoDuplicates();
			group.actions().forEach((action) -> Truth.assertThat(action.help()).isNotEmpty());
		}
	}

	@Test
	void bashCompletesGroupsVerbsAndOptions() throws Exception {
		runRaw("completion");
		Truth.assertThat(complete("burdockctl ca")).isEqualTo("campaign");
		Truth.assertThat(complete("burdockctl key wi")).isEqualTo("withdraw");
		Truth.assertThat(complete("burdockctl pool create --js")).isEqualTo("--json");
	}

	private String complete(String line) throws Exception {
		String script = this.output + "\nCOMP_WORDS=(" + line
				+ ")\nCOMP_CWORD=$((${#COMP_WORDS[@]} - 1))\n_burdockctl\necho \"${COMPREPLY[*]}\"\n";
		Process bash = new ProcessBuilder("bash", "--norc", "-c", script).redirectErrorStream(true).start();
		String answer = new String(bash.getInputStream().readAllBytes()).strip();
		Truth.assertThat(bash.waitFor(20, TimeUnit.SECONDS)).isTrue();
		return answer;
	}

	private void answerPools(boolean current) {
		ConfigurationSnapshot configuration = new ConfigurationSnapshot(9,
				List.of(new PoolRecord(new PoolName("office"), AvailabilityBudget.DEFAULT, false, 1)), List.of(),
				List.of(), List.of(), List.of());
		this.entries.answer(FIRST,
				new OperatorReply.Answered(9, current, new QueryResult.ConfigurationResult(configuration)));
	}

	private ConfigurationCommand onlyCommand() {
		Truth.assertThat(this.entries.requests()).hasSize(1);
		return (ConfigurationCommand) ((OperatorRequest.Change) this.entries.requests().get(0)).command();
	}

	private JsonNode json() {
		try {
			return new ObjectMapper().readTree(this.output.toString());
		}
		catch (IOException ex) {
			throw new AssertionError(ex);
		}
	}

	private OperatorExit run(String... args) {
		return program(Map.of(OperatorProgram.ENTRY_VARIABLE, FIRST + "," + SECOND)).run(args);
	}

	private OperatorExit runRaw(String... args) {
		return program(Map.of()).run(args);
	}

	private OperatorProgram program(Map<String, String> environment) {
		return new OperatorProgram(new PrintStream(this.output), new PrintStream(this.errors), environment,
				(timeout, trustFile) -> this.entries);
	}

}
