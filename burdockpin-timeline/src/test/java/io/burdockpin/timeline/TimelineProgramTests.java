package io.burdockpin.timeline;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

import com.google.common.truth.Truth;
import io.burdockpin.codec.json.EventJsonCodec;
import io.burdockpin.codec.json.ProcessDescription;
import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.event.HybridTimestamp;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against broken promises that stay unseen and allowed cases that are marked. */
class TimelineProgramTests {

	private static final ProcessDescription ENTRY_ONE = new ProcessDescription("burdock-entry", "e1", "dc1", 5);

	private static final ProcessDescription ENTRY_TWO = new ProcessDescription("burdock-entry", "e2", "dc2", 6);

	private static final ProcessDescription CONTROL_ONE = new ProcessDescription("burdock-control", "c1", "dc1", 1);

	private static final ProcessDescription CONTROL_TWO = new ProcessDescription("burdock-control", "c2", "dc2", 1);

	private final EventJsonCodec codec = new EventJsonCodec();

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

	@TempDir
	private Path folder;

	@Test
	void eventsOfAllProcessesAreMergedInTheOrderOfTheClock() {
		append(ENTRY_ONE, event(EventKind.REQUEST_ACCEPTED, 2000, 0).with(EventField.REQUEST, "1-a"));
		append(ENTRY_TWO, event(EventKind.ATTEMPT_STARTED, 2000, 1).with(EventField.REQUEST, "1-a"));
		append(ENTRY_ONE, event(EventKind.REQUEST_ANSWERED, 2000, 2).with(EventField.REQUEST, "1-a"));
		run();
		Truth.assertThat(this.output.toString().replaceAll(" \\w+=\\S+", ""))
			.isEqualTo("1970-01-01T00:00:02Z burdock-entry@e1/dc1 REQUEST_ACCEPTED\n"
					+ "1970-01-01T00:00:02Z burdock-entry@e2/dc2 ATTEMPT_STARTED\n"
					+ "1970-01-01T00:00:02Z burdock-entry@e1/dc1 REQUEST_ANSWERED\n");
	}

	@Test
	void filtersKeepWhatWasAskedFor() {
		append(ENTRY_ONE, event(EventKind.REQUEST_ACCEPTED, 1000, 0).with(EventField.REQUEST, "1-a"));
		append(ENTRY_TWO, event(EventKind.REQUEST_ACCEPTED, 2000, 0).with(EventField.REQUEST, "1-b"));
		append(ENTRY_TWO, event(EventKind.JOB_SUBMITTED, 3000, 0).with(EventField.JOB, "j-1"));
		Truth.assertThat(linesOf("--request", "1-b")).isEqualTo(1);
		Truth.assertThat(linesOf("--host", "e2")).isEqualTo(2);
		Truth.assertThat(linesOf("--kind", "JOB_SUBMITTED", "--job", "j-1")).isEqualTo(1);
		Truth.assertThat(linesOf("--from", "1970-01-01T00:00:02Z", "--to", "1970-01-01T00:00:02Z")).isEqualTo(1);
	}

	@Test
	void aTornLastLineIsSkippedAndNamed() throws IOException {
		append(ENTRY_ONE, event(EventKind.PROCESS_STARTED, 1000, 0));
		Files.writeString(file(ENTRY_ONE), "{\"hlc\":12,\"ki", StandardOpenOption.APPEND);
		Truth.assertThat(run()).isEqualTo(TimelineProgram.SUCCESS);
		Truth.assertThat(this.errors.toString()).contains("skipped " + file(ENTRY_ONE) + ":2");
	}

	@Test
	void aRequestAnsweredTwiceIsMarked() {
		append(ENTRY_ONE, event(EventKind.REQUEST_ACCEPTED, 1000, 0).with(EventField.REQUEST, "1-a"));
		append(ENTRY_ONE, event(EventKind.REQUEST_ANSWERED, 1001, 0).with(EventField.REQUEST, "1-a"));
		Truth.assertThat(broken()).isEmpty();
		append(ENTRY_ONE, event(EventKind.REQUEST_ANSWERED, 1002, 0).with(EventField.REQUEST, "1-a"));
		Truth.assertThat(broken()).contains("ANSWERED_TWICE (P6)");
	}

	@Test
	void aLineThatStandsForAWholeRequestShowsEachOfItsSteps() {
		append(ENTRY_ONE, wholeRequest(1000, 1500, 2000));
		run();
		Truth.assertThat(this.output.toString().replaceAll(" incarnation=\\S+", ""))
			.isEqualTo("1970-01-01T00:00:01Z burdock-entry@e1/dc1 REQUEST_ACCEPTED"
					+ " key=abcd0123 queue=q request=1-a submission=1\n"
					+ "1970-01-01T00:00:01.500Z burdock-entry@e1/dc1 ATTEMPT_STARTED"
					+ " attempt=2 request=1-a runner=r submission=1\n"
					+ "1970-01-01T00:00:02Z burdock-entry@e1/dc1 ATTEMPT_ENDED"
					+ " attempt=2 outcome=RAN request=1-a submission=1\n"
					+ "1970-01-01T00:00:02Z burdock-entry@e1/dc1 REQUEST_ANSWERED"
					+ " outcome=RAN request=1-a submission=1\n");
	}

	@Test
	void aSecondAnswerToARequestInOneLineIsMarked() {
		append(ENTRY_ONE, wholeRequest(1000, 1500, 2000));
		Truth.assertThat(broken()).isEmpty();
		append(ENTRY_ONE, event(EventKind.REQUEST_ANSWERED, 2001, 0).with(EventField.REQUEST, "1-a")
			.with(EventField.SUBMISSION, 1));
		Truth.assertThat(broken()).contains("ANSWERED_TWICE (P6)");
	}

	@Test
	void aRequestInOneLineCountsAtTheTimeOfItsAcceptanceForTheWithdrawalOfItsKey() {
		append(ENTRY_ONE, event(EventKind.KEY_WITHDRAWN, 1600, 0).with(EventField.KEY, "abcd0123"));
		append(ENTRY_ONE, wholeRequest(1599, 1700, 2000));
		Truth.assertThat(broken()).isEmpty();
		append(ENTRY_ONE, wholeRequest(1601, 1700, 2000));
		Truth.assertThat(broken()).contains("KEY_ACCEPTED_LATE (P4)");
	}

	@Test
	void aResendThatIsAnsweredIsNoSecondAnswer() {
		for (long millis = 1000; millis < 1400; millis += 200) {
			append(ENTRY_ONE, event(EventKind.REQUEST_ACCEPTED, millis, 0).with(EventField.REQUEST, "1-a"));
			append(ENTRY_ONE, event(EventKind.REQUEST_ANSWERED, millis + 100, 0).with(EventField.REQUEST, "1-a"));
		}
		Truth.assertThat(broken()).isEmpty();
	}

	@Test
	void aRequestNotRepeatableWithTwoAttemptsThatMayHaveRunIsMarked() {
		append(ENTRY_ONE, event(EventKind.REQUEST_ACCEPTED, 1000, 0).with(EventField.REQUEST, "1-a")
			.with(EventField.REPEATABLE, false));
		append(ENTRY_ONE, attemptEnded("1-a", 1001, "NOT_RUN"));
		append(ENTRY_ONE, attemptEnded("1-a", 1002, "RAN"));
		Truth.assertThat(broken()).isEmpty();
		append(ENTRY_TWO, attemptEnded("1-a", 1003, "UNKNOWN"));
		Truth.assertThat(broken()).contains("RAN_TWICE (P8)");
	}

	@Test
	void aRepeatableRequestMayRunTwice() {
		append(ENTRY_ONE, event(EventKind.REQUEST_ACCEPTED, 1000, 0).with(EventField.REQUEST, "1-a")
			.with(EventField.REPEATABLE, true));
		append(ENTRY_ONE, attemptEnded("1-a", 1002, "RAN"));
		append(ENTRY_ONE, attemptEnded("1-a", 1003, "RAN"));
		Truth.assertThat(broken()).isEmpty();
	}

	@Test
	void anAnswerNotRunAfterAnAttemptThatRanIsMarked() {
		append(ENTRY_ONE, event(EventKind.REQUEST_ACCEPTED, 1000, 0).with(EventField.REQUEST, "1-a"));
		append(ENTRY_ONE, attemptEnded("1-a", 1002, "RAN"));
		append(ENTRY_ONE, event(EventKind.REQUEST_ANSWERED, 1003, 0).with(EventField.REQUEST, "1-a")
			.with(EventField.OUTCOME, "NOT_RUN"));
		Truth.assertThat(broken()).contains("RAN_BUT_REFUSED (P7)");
	}

	@Test
	void aJobPlacedBeforeItsOlderPlacementEndedIsMarked() {
		append(CONTROL_ONE, placed(1, 1000));
		append(CONTROL_TWO, placed(1, 1500));
		append(CONTROL_ONE,
				event(EventKind.JOB_INTERRUPTED, 1100, 0).with(EventField.JOB, "j-1").with(EventField.LEASE_EPOCH, 1));
		append(CONTROL_ONE, placed(2, 1200));
		Truth.assertThat(broken()).isEmpty();
		append(CONTROL_ONE, placed(3, 1300));
		Truth.assertThat(broken()).contains("job j-1 was placed under epoch 3 before epoch 2 had ended");
	}

	@Test
	void aJobWhoseOlderPlacementEndedOnlyAfterTheNewOneIsMarked() {
		append(CONTROL_ONE, placed(1, 1000));
		append(CONTROL_ONE, placed(2, 1100));
		append(CONTROL_ONE,
				event(EventKind.JOB_INTERRUPTED, 1200, 0).with(EventField.JOB, "j-1").with(EventField.LEASE_EPOCH, 1));
		Truth.assertThat(broken()).contains("job j-1 was placed under epoch 2 before epoch 1 had ended");
	}

	@Test
	void twoLeadersInOneTermAreMarked() {
		append(CONTROL_ONE, event(EventKind.LEADER_ELECTED, 1000, 0).with(EventField.TERM, 4));
		append(CONTROL_TWO, event(EventKind.LEADER_ELECTED, 1001, 0).with(EventField.TERM, 5));
		Truth.assertThat(broken()).isEmpty();
		append(CONTROL_TWO, event(EventKind.LEADER_ELECTED, 1002, 0).with(EventField.TERM, 4));
		Truth.assertThat(broken()).contains("TWO_LEADERS");
	}

	@Test
	void aConfigurationIndexThatGoesBackIsMarkedAlsoAfterARestartOfAnEntryHost() {
		append(ENTRY_ONE, applied(9, 1000));
		append(ENTRY_ONE, event(EventKind.PROCESS_STARTED, 1001, 0));
		append(ENTRY_ONE, applied(8, 1002));
		Truth.assertThat(broken()).contains("burdock-entry@e1/dc1 went back from index 9 to 8");
	}

	@Test
	void aControlMemberMayApplyItsLogAgainAfterARestart() {
		append(CONTROL_ONE, applied(9, 1000));
		append(CONTROL_ONE, event(EventKind.PROCESS_STARTED, 1001, 0));
		append(CONTROL_ONE, applied(8, 1002));
		Truth.assertThat(broken()).isEmpty();
	}

	@Test
	void aKeyAcceptedLongAfterItsWithdrawalIsMarked() {
		append(ENTRY_ONE, event(EventKind.KEY_WITHDRAWN, 1000, 0).with(EventField.KEY, "abcd0123"));
		append(ENTRY_TWO, event(EventKind.REQUEST_ACCEPTED, 9000, 0).with(EventField.KEY, "abcd0123"));
		Truth.assertThat(broken()).isEmpty();
		append(ENTRY_TWO, event(EventKind.REQUEST_ACCEPTED, 9001, 0).with(EventField.KEY, "abcd0123"));
		Truth.assertThat(broken()).contains("key abcd0123 was accepted 8001 ms after its withdrawal");
	}

	@Test
	void checkEndsWithStatusOneOnABrokenPromise() {
		append(ENTRY_ONE, event(EventKind.INVARIANT_BROKEN, 1000, 0).with(EventField.DETAIL, "tokens over the limit"));
		Truth.assertThat(run("--check")).isEqualTo(TimelineProgram.BROKEN);
		Truth.assertThat(run()).isEqualTo(TimelineProgram.SUCCESS);
	}

	@Test
	void thePageIsSelfContainedAndEscapesWhatCallersSent() {
		append(ENTRY_ONE, event(EventKind.REQUEST_ACCEPTED, 1000, 0).with(EventField.DETAIL, "<script>x</script>"));
		append(ENTRY_ONE, event(EventKind.INVARIANT_BROKEN, 1001, 0).with(EventField.DETAIL, "a & b"));
		run("--format", "html");
		String page = this.output.toString();
		Truth.assertThat(page).contains("<svg");
		Truth.assertThat(page).contains("class=\"mark\"");
		Truth.assertThat(page).contains("&lt;script&gt;");
		Truth.assertThat(page).doesNotContain("<script");
		Truth.assertThat(page).doesNotContain("src=");
		Truth.assertThat(page).doesNotContain("href=");
	}

	@Test
	void aMissingFileAndAWrongTimeEndWithClearErrors() {
		Truth
			.assertThat(new TimelineProgram(new PrintStream(this.output), new PrintStream(this.errors))
				.run(new String[] { this.folder.resolve("missing").toString() }))
			.isEqualTo(TimelineProgram.FILE);
		append(ENTRY_ONE, event(EventKind.PROCESS_STARTED, 1000, 0));
		Truth.assertThat(run("--from", "yesterday")).isEqualTo(TimelineProgram.USAGE);
		Truth.assertThat(this.errors.toString()).contains("time \"yesterday\" is not of the form");
	}

	@Test
	void theExampleOfTheOperationsPageIsUnderstood() throws IOException {
		String page = Files.readString(Path.of("").toAbsolutePath().getParent().resolve("docs/OPERATIONS.md"));
		java.util.regex.Matcher example = java.util.regex.Pattern.compile("(?m)^burdock-timeline FILE\\.\\.\\. (.*)$")
			.matcher(page);
		Truth.assertThat(example.find()).isTrue();
		append(ENTRY_ONE, event(EventKind.PROCESS_STARTED, 1000, 0));
		Path target = this.folder.resolveSibling("timeline.html");
		Truth.assertThat(run(example.group(1).replace("timeline.html", target.toString()).split(" ")))
			.isEqualTo(TimelineProgram.SUCCESS);
		Truth.assertThat(Files.readString(target)).contains("<svg");
		Files.delete(target);
	}

	private static Event event(EventKind kind, long millis, int counter) {
		return Event.of(kind, new HybridTimestamp(millis, counter));
	}

	private static Event wholeRequest(long acceptedMillis, long startedMillis, long answeredMillis) {
		return event(EventKind.REQUEST_ANSWERED, answeredMillis, 0).with(EventField.REQUEST, "1-a")
			.with(EventField.SUBMISSION, 1)
			.with(EventField.QUEUE, "q")
			.with(EventField.KEY, "abcd0123")
			.with(EventField.ATTEMPT, 2)
			.with(EventField.RUNNER, "r")
			.with(EventField.OUTCOME, "RAN")
			.with(EventField.ACCEPTED, new HybridTimestamp(acceptedMillis, 0).packed())
			.with(EventField.STARTED, new HybridTimestamp(startedMillis, 0).packed());
	}

	private static Event attemptEnded(String request, long millis, String outcome) {
		return event(EventKind.ATTEMPT_ENDED, millis, 0).with(EventField.REQUEST, request)
			.with(EventField.OUTCOME, outcome);
	}

	private static Event placed(long epoch, long millis) {
		return event(EventKind.JOB_PLACED, millis, 0).with(EventField.JOB, "j-1").with(EventField.LEASE_EPOCH, epoch);
	}

	private static Event applied(long index, long millis) {
		return event(EventKind.CONFIGURATION_APPLIED, millis, 0).with(EventField.INDEX, index);
	}

	private Path file(ProcessDescription process) {
		return this.folder.resolve(process.host() + ".events");
	}

	private void append(ProcessDescription process, Event event) {
		try {
			Files.writeString(file(process), this.codec.encode(process, event) + "\n", StandardOpenOption.CREATE,
					StandardOpenOption.APPEND);
		}
		catch (IOException ex) {
			throw new AssertionError(ex);
		}
	}

	private String broken() {
		this.output.reset();
		run("--kind", "NONE");
		return this.output.toString();
	}

	private long linesOf(String... options) {
		this.output.reset();
		run(options);
		return this.output.toString().lines().count();
	}

	private int run(String... options) {
		java.util.List<String> args = new java.util.ArrayList<>();
		try (java.util.stream.Stream<Path> files = Files.list(this.folder)) {
			files.map(Path::toString).sorted().forEach(args::add);
		}
		catch (IOException ex) {
			throw new AssertionError(ex);
		}
		args.addAll(java.util.List.of(options));
		return new TimelineProgram(new PrintStream(this.output), new PrintStream(this.errors))
			.run(args.toArray(new String[0]));
	}

}
