package io.burdockpin.entry.event;

import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import io.burdockpin.core.admission.RequestFacts;
import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
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
import org.apache.pekko.actor.testkit.typed.javadsl.TestInbox;
import org.junit.jupiter.api.Test;

/** Guards against events from which the time line could not check the promises. */
class RequestEventsTests {

	private static final KeyHash KEY = KeyHash.of("a key");

	private static final RequestId REQUEST = new RequestId("1700000000-a");

	private static final RequestFacts FACTS = new RequestFacts(new QueueName("q"), 1, Optional.of(KEY),
			Optional.of(REQUEST), false, 1000);

	private static final Optional<TeamName> TEAM = Optional.of(new TeamName("t"));

	private final TestInbox<EventLog.Command> log = TestInbox.create();

	@Test
	void eachEventOfARequestNamesTeamIdentifierAndWhetherItMayRunAgain() {
		RequestEvents events = events(true);
		events.accepted(1, FACTS, REQUEST, TEAM);
		events.sentToRunner(1, 2, new RunnerName("r"));
		events.attemptEnded(2, Outcome.RAN);
		events.answered(1, Outcome.RAN);
		List<Event> written = written();
		Truth.assertThat(written.stream().map(Event::kind).toList())
			.containsExactly(EventKind.REQUEST_ACCEPTED, EventKind.ATTEMPT_STARTED, EventKind.ATTEMPT_ENDED,
					EventKind.REQUEST_ANSWERED)
			.inOrder();
		for (Event event : written) {
			Truth.assertThat(event.field(EventField.TEAM)).hasValue("t");
			Truth.assertThat(event.field(EventField.REQUEST)).hasValue(REQUEST.value());
			Truth.assertThat(event.field(EventField.REPEATABLE)).hasValue("false");
		}
		Truth.assertThat(written.get(0).field(EventField.KEY)).hasValue(KEY.abbreviated());
	}

	@Test
	void aForwardedAttemptNamesTheAttemptItBelongsToAndIsNotAnsweredHere() {
		RequestEvents events = events(true);
		events.forwarded(7, new ForwardRequest(2, new QueueName("q"), TEAM, REQUEST, true, 1000, "", Payload.EMPTY,
				OptionalLong.empty()), new Holder(new HostName("e2"), 9));
		events.sentToRunner(7, 8, new RunnerName("r"));
		events.attemptEnded(8, Outcome.RAN);
		events.answered(7, Outcome.RAN);
		List<Event> written = written();
		Truth.assertThat(written).hasSize(2);
		written.forEach((event) -> Truth.assertThat(event.field(EventField.FORWARDED_BY)).hasValue("e2/9/2"));
	}

	@Test
	void aRefusalSaysWhyAndThatNothingRan() {
		events(true).refused(FACTS, REQUEST, ErrorCode.KEY_WITHDRAWN);
		Event refusal = written().get(0);
		Truth.assertThat(refusal.field(EventField.CODE)).hasValue("KEY_WITHDRAWN");
		Truth.assertThat(refusal.field(EventField.OUTCOME)).hasValue("NOT_RUN");
	}

	@Test
	void theSettingSwitchesRequestsOffButNotWithdrawals() {
		RequestEvents events = events(false);
		events.accepted(1, FACTS, REQUEST, TEAM);
		events.sentToRunner(1, 2, new RunnerName("r"));
		events.attemptEnded(2, Outcome.RAN);
		events.answered(1, Outcome.RAN);
		events.refused(FACTS, REQUEST, ErrorCode.QUEUE_FULL);
		events.withdrawn(List.of(KEY));
		events.withdrawn(List.of(KEY));
		Truth.assertThat(written().stream().map(Event::kind).toList()).containsExactly(EventKind.KEY_WITHDRAWN);
	}

	private RequestEvents events(boolean recorded) {
		PeerInfo self = new PeerInfo(new HostName("e1"), new DataCentre("dc1"), "127.0.0.1:1");
		EntryIdentity identity = new EntryIdentity(new Holder(new HostName("e1"), 5), self, InstantSource.system());
		return new RequestEvents(new EventRecorder(identity, Optional.of(this.log.getRef())), recorded);
	}

	private List<Event> written() {
		return this.log.getAllReceived().stream().map((command) -> ((EventLog.Append) command).event()).toList();
	}

}
