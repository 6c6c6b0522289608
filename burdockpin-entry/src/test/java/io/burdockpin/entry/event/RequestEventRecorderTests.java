package io.burdockpin.entry.event;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import io.burdockpin.codec.json.EventJsonCodec;
import io.burdockpin.codec.json.ProcessDescription;
import io.burdockpin.core.admission.AdmissionRequest;
import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.membership.PeerInfo;
import io.burdockpin.core.membership.PeerMessage.ForwardRequest;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.runtime.event.EventLog;
import io.burdockpin.timeline.check.CheckSettings;
import io.burdockpin.timeline.check.PromiseCheck;
import io.burdockpin.timeline.model.EventFileReader;
import io.burdockpin.timeline.model.EventRecord;
import org.apache.pekko.actor.testkit.typed.javadsl.TestInbox;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against events that do not suffice for the timeline program to check the
 * promises, also when the entry host is killed after any of its lines.
 */
class RequestEventRecorderTests {

	private static final KeyHash KEY = KeyHash.of("a key");

	private static final RequestId REQUEST = new RequestId("1700000000-a");

	private static final RunnerName RUNNER = new RunnerName("r");

	private static final Optional<TeamName> TEAM = Optional.of(new TeamName("t"));

	private static final Optional<TeamName> NO_TEAM = Optional.empty();

	private final EventJsonCodec codec = new EventJsonCodec();

	private final List<String> file = new ArrayList<>();

	@TempDir
	private Path folder;

	@Test
	void eachStepOfARequestNamesTeamIdentifierAndWhetherItMayRunAgain() {
		for (boolean repeatable : List.of(true, false)) {
			this.file.clear();
			TestInbox<EventLog.Command> log = TestInbox.create();
			serve(events("e1", log, true), repeatable, TEAM);
			List<EventRecord> steps = read(log);
			Truth.assertThat(steps.stream().map(EventRecord::kind).toList())
				.containsExactly("REQUEST_ACCEPTED", "ATTEMPT_STARTED", "ATTEMPT_ENDED", "REQUEST_ANSWERED")
				.inOrder();
			for (EventRecord step : steps) {
				Truth.assertThat(step.field(EventField.TEAM)).hasValue("t");
				Truth.assertThat(step.field(EventField.REQUEST)).hasValue(REQUEST.value());
				Truth.assertThat(step.field(EventField.REPEATABLE)).hasValue(String.valueOf(repeatable));
				Truth.assertThat(step.field(EventField.SUBMISSION)).hasValue("1");
			}
			Truth.assertThat(steps.get(0).field(EventField.KEY)).hasValue(KEY.abbreviated());
			Truth.assertThat(steps.get(1).field(EventField.RUNNER)).hasValue("r");
			Truth.assertThat(steps.get(2).field(EventField.OUTCOME)).hasValue("RAN");
		}
	}

	@Test
	void aRequestHasOneLineAndASecondOnlyIfItsAttemptMustBeRecordedAtTheStart() {
		Truth.assertThat(linesFor(true, NO_TEAM)).isEqualTo(1);
		Truth.assertThat(linesFor(true, TEAM)).isEqualTo(2);
		Truth.assertThat(linesFor(false, NO_TEAM)).isEqualTo(2);
		Truth.assertThat(linesFor(false, TEAM)).isEqualTo(2);
	}

	@Test
	void aRunOfAKilledEntryHostCountsWhenTheRequestIsServedAgainElsewhere() {
		TestInbox<EventLog.Command> killed = TestInbox.create();
		start(events("e1", killed, true), false, NO_TEAM);
		read(killed);
		Truth.assertThat(failedChecks()).isEmpty();
		TestInbox<EventLog.Command> other = TestInbox.create();
		serve(events("e2", other, true), false, NO_TEAM);
		read("e2", other);
		Truth.assertThat(failedChecks()).containsExactly("RAN_TWICE");
	}

	@Test
	void theRunningAttemptsOfAKilledEntryHostCountTowardTheLimitOfTheTeam() {
		Event limit = Event.of(EventKind.CONFIGURATION_APPLIED, new HybridTimestamp(1, 0))
			.with(EventField.TEAM, "t")
			.with(EventField.LIMIT, 1);
		this.file.add(this.codec.encode(new ProcessDescription("burdock-control", "c1", "dc1", 1), limit));
		TestInbox<EventLog.Command> killed = TestInbox.create();
		start(events("e1", killed, true), true, TEAM);
		read(killed);
		Truth.assertThat(failedChecks()).isEmpty();
		TestInbox<EventLog.Command> other = TestInbox.create();
		start(events("e2", other, true), true, TEAM);
		read("e2", other);
		Truth.assertThat(failedChecks()).containsExactly("TEAM_ABOVE_LIMIT");
	}

	@Test
	void aKeyAcceptedAfterItsWithdrawalIsDetectedBeforeTheRequestIsSent() {
		TestInbox<EventLog.Command> log = TestInbox.create();
		RequestEventRecorder events = events("e1", log, true);
		events.recordWithdrawnKeys(List.of(KEY));
		events.recordAccepted(1, admission(true), REQUEST, TEAM);
		read(log);
		Truth.assertThat(failedChecks()).containsExactly("KEY_ACCEPTED_LATE");
	}

	@Test
	void aRequestThatWaitsHasALineOfItsAcceptanceAndNoSecondOne() {
		TestInbox<EventLog.Command> log = TestInbox.create();
		RequestEventRecorder events = events("e1", log, true);
		events.recordAccepted(1, admission(true), REQUEST, TEAM);
		events.writePendingAcceptances();
		events.writePendingAcceptances();
		events.writePendingAcceptances();
		Truth.assertThat(kinds(read(log))).containsExactly("REQUEST_ACCEPTED");
		events.recordAnswered(1, Outcome.NOT_RUN);
		Truth.assertThat(kinds(read(log))).containsExactly("REQUEST_ACCEPTED", "REQUEST_ANSWERED");
	}

	@Test
	void aNotRunAnswerAfterAnAttemptThatRanIsDetected() {
		TestInbox<EventLog.Command> log = TestInbox.create();
		RequestEventRecorder events = events("e1", log, true);
		start(events, true, NO_TEAM);
		events.recordAttemptEnded(2, Outcome.RAN, Optional.of(Outcome.NOT_RUN));
		events.recordAnswered(1, Outcome.NOT_RUN);
		read(log);
		Truth.assertThat(failedChecks()).containsExactly("RAN_BUT_REFUSED");
	}

	@Test
	void aForwardedAttemptNamesTheAttemptItBelongsToAndIsNotAnsweredHere() {
		for (boolean repeatable : List.of(true, false)) {
			this.file.clear();
			TestInbox<EventLog.Command> log = TestInbox.create();
			RequestEventRecorder events = events("e1", log, true);
			events.recordForwarded(7, new ForwardRequest(2, new QueueName("q"), TEAM, REQUEST, repeatable, 1000, "",
					Payload.EMPTY, OptionalLong.empty()), new Holder(new HostName("e2"), 9));
			events.recordSentToRunner(7, 8, RUNNER);
			events.recordAttemptEnded(8, Outcome.RAN, Optional.empty());
			events.recordAnswered(7, Outcome.RAN);
			List<EventRecord> steps = read(log);
			Truth.assertThat(kinds(steps)).containsExactly("ATTEMPT_STARTED", "ATTEMPT_ENDED").inOrder();
			Truth.assertThat(this.file).hasSize(repeatable ? 1 : 2);
			steps.forEach((step) -> Truth.assertThat(step.field(EventField.FORWARDED_BY)).hasValue("e2/9/2"));
		}
	}

	@Test
	void aRefusalHasItsCodeAndTheOutcomeNotRun() {
		TestInbox<EventLog.Command> log = TestInbox.create();
		events("e1", log, true).recordRefused(admission(false), REQUEST, ErrorCode.KEY_WITHDRAWN);
		EventRecord refusal = read(log).get(0);
		Truth.assertThat(refusal.field(EventField.CODE)).hasValue("KEY_WITHDRAWN");
		Truth.assertThat(refusal.field(EventField.OUTCOME)).hasValue("NOT_RUN");
	}

	@Test
	void theSettingSwitchesRequestsOffButNotWithdrawals() {
		TestInbox<EventLog.Command> log = TestInbox.create();
		RequestEventRecorder events = events("e1", log, false);
		serve(events, false, TEAM);
		events.recordAccepted(3, admission(false), REQUEST, TEAM);
		events.writePendingAcceptances();
		events.writePendingAcceptances();
		events.recordRefused(admission(false), REQUEST, ErrorCode.QUEUE_FULL);
		events.recordWithdrawnKeys(List.of(KEY));
		events.recordWithdrawnKeys(List.of(KEY));
		Truth.assertThat(kinds(read(log))).containsExactly("KEY_WITHDRAWN");
	}

	// helpers

	private int linesFor(boolean repeatable, Optional<TeamName> team) {
		TestInbox<EventLog.Command> log = TestInbox.create();
		serve(events("e1", log, true), repeatable, team);
		return log.getAllReceived().size();
	}

	private static void start(RequestEventRecorder events, boolean repeatable, Optional<TeamName> team) {
		events.recordAccepted(1, admission(repeatable), REQUEST, team);
		events.recordSentToRunner(1, 2, RUNNER);
	}

	private static void serve(RequestEventRecorder events, boolean repeatable, Optional<TeamName> team) {
		start(events, repeatable, team);
		events.recordAttemptEnded(2, Outcome.RAN, Optional.of(Outcome.RAN));
		events.recordAnswered(1, Outcome.RAN);
	}

	private static AdmissionRequest admission(boolean repeatable) {
		return new AdmissionRequest(new QueueName("q"), 1, Optional.of(KEY), Optional.of(REQUEST), repeatable, 1000);
	}

	private static RequestEventRecorder events(String host, TestInbox<EventLog.Command> log, boolean recorded) {
		PeerInfo self = new PeerInfo(new HostName(host), new DataCentre("dc1"), "127.0.0.1:1");
		EntryIdentity identity = new EntryIdentity(new Holder(new HostName(host), 5), self, InstantSource.system());
		return new RequestEventRecorder(new EventRecorder(identity, Optional.of(log.getRef())), recorded);
	}

	private List<EventRecord> read(TestInbox<EventLog.Command> log) {
		return read("e1", log);
	}

	private List<EventRecord> read(String host, TestInbox<EventLog.Command> log) {
		ProcessDescription process = new ProcessDescription("burdock-entry", host, "dc1", 5);
		log.getAllReceived()
			.forEach((command) -> this.file.add(this.codec.encode(process, ((EventLog.Append) command).event())));
		return steps();
	}

	private List<EventRecord> steps() {
		try {
			Path path = this.folder.resolve("events.jsonl");
			Files.write(path, this.file);
			return new EventFileReader().read(List.of(path)).events();
		}
		catch (IOException ex) {
			throw new AssertionError(ex);
		}
	}

	private static List<String> kinds(List<EventRecord> steps) {
		return steps.stream().map(EventRecord::kind).toList();
	}

	private List<String> failedChecks() {
		return PromiseCheck.findAll(steps(), CheckSettings.DEFAULT)
			.stream()
			.map((violation) -> violation.check().name())
			.toList();
	}

}
