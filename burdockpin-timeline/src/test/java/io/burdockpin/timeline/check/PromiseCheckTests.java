package io.burdockpin.timeline.check;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import com.google.common.truth.Truth;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.timeline.model.EventRecord;
import io.burdockpin.timeline.model.ProcessName;
import io.burdockpin.timeline.model.Timeline;
import org.junit.jupiter.api.Test;

/**
 * Guards against broken promises that stay unseen, and against alarms in clean histories
 * with forwarded requests, clocks that differ and events that arrive out of order.
 */
class PromiseCheckTests {

	private static final ProcessName E1 = new ProcessName("burdock-entry", "e1", "dc1");

	private static final ProcessName E2 = new ProcessName("burdock-entry", "e2", "dc2");

	private static final ProcessName C1 = new ProcessName("burdock-control", "c1", "dc1");

	private static final ProcessName C2 = new ProcessName("burdock-control", "c2", "dc2");

	private static final String ONCE = "request=1-a team=t repeatable=false";

	private final List<EventRecord> events = new ArrayList<>();

	@Test
	void anAttemptThatTwoEntryHostsRecordCountsOnce() {
		forwarded("RAN", "RAN");
		Truth.assertThat(broken()).isEmpty();
	}

	@Test
	void aSecondRunAtTheHostThatAForwardedRequestCameBackToIsMarked() {
		forwarded("RAN", "NOT_RUN");
		add(E1, 1030, EventKind.ATTEMPT_STARTED, ONCE + " submission=1 attempt=3");
		add(E1, 1040, EventKind.ATTEMPT_ENDED, ONCE + " submission=1 attempt=3 outcome=RAN");
		Truth.assertThat(broken()).contains("RAN_TWICE");
	}

	@Test
	void anAttemptOfAKilledEntryHostMayHaveRun() {
		add(E1, 1000, EventKind.REQUEST_ACCEPTED, ONCE + " submission=1");
		add(E1, 1001, EventKind.ATTEMPT_STARTED, ONCE + " submission=1 attempt=2");
		Truth.assertThat(broken()).isEmpty();
		add(E2, 3000, EventKind.REQUEST_ACCEPTED, ONCE + " submission=1");
		add(E2, 3001, EventKind.ATTEMPT_STARTED, ONCE + " submission=1 attempt=2");
		add(E2, 3002, EventKind.ATTEMPT_ENDED, ONCE + " submission=1 attempt=2 outcome=RAN");
		Truth.assertThat(broken()).containsExactly("RAN_TWICE");
	}

	@Test
	void aRefusalAfterARunAtAnotherHostIsMarkedWhateverTheClocksShow() {
		add(E1, 1000, EventKind.REQUEST_ACCEPTED, ONCE + " submission=1");
		add(E1, 1001, EventKind.ATTEMPT_STARTED, ONCE + " submission=1 attempt=2 host=e2");
		add(E2, 9000, EventKind.ATTEMPT_STARTED, "request=1-a team=t submission=7 forwardedBy=e1/5/2 attempt=8");
		add(E2, 9005, EventKind.ATTEMPT_ENDED,
				"request=1-a team=t submission=7 forwardedBy=e1/5/2 attempt=8 outcome=RAN");
		add(E1, 1020, EventKind.ATTEMPT_ENDED, ONCE + " submission=1 attempt=2 host=e2 outcome=NOT_RUN");
		add(E1, 1021, EventKind.REQUEST_ANSWERED, ONCE + " submission=1 outcome=NOT_RUN");
		Truth.assertThat(broken()).containsExactly("RAN_BUT_REFUSED");
	}

	@Test
	void aRefusedResendOfARequestThatRanEarlierIsNoFalseRefusal() {
		add(E1, 1000, EventKind.REQUEST_ACCEPTED, ONCE + " submission=1");
		add(E1, 1001, EventKind.ATTEMPT_STARTED, ONCE + " submission=1 attempt=2");
		add(E1, 1002, EventKind.ATTEMPT_ENDED, ONCE + " submission=1 attempt=2 outcome=RAN");
		add(E1, 1003, EventKind.REQUEST_ANSWERED, ONCE + " submission=1 outcome=RAN");
		add(E1, 1500, EventKind.REQUEST_ACCEPTED, ONCE + " submission=4");
		add(E1, 1501, EventKind.REQUEST_ANSWERED, ONCE + " submission=4 outcome=NOT_RUN");
		Truth.assertThat(broken()).isEmpty();
	}

	@Test
	void aKeyIsMarkedAtOnceAtAHostThatKnowsOfItsWithdrawalAlsoWithASlowClock() {
		add(E1, 100_000, EventKind.KEY_WITHDRAWN, "key=abcd0123");
		add(E2, 90_000, EventKind.REQUEST_ACCEPTED, "request=1-a key=abcd0123");
		add(E2, 91_000, EventKind.KEY_WITHDRAWN, "key=abcd0123");
		Truth.assertThat(broken()).isEmpty();
		add(E2, 91_001, EventKind.REQUEST_ACCEPTED, "request=1-b key=abcd0123");
		Truth.assertThat(broken()).containsExactly("KEY_ACCEPTED_LATE");
	}

	@Test
	void aJobWithAKeyWithdrawnLongAgoIsMarked() {
		add(E1, 1000, EventKind.KEY_WITHDRAWN, "key=abcd0123");
		add(E2, 9000, EventKind.JOB_SUBMITTED, "job=j-1 team=t key=abcd0123");
		Truth.assertThat(broken()).isEmpty();
		add(E2, 9001, EventKind.JOB_SUBMITTED, "job=j-2 team=t key=abcd0123");
		Truth.assertThat(broken()).containsExactly("KEY_ACCEPTED_LATE");
	}

	@Test
	void requestsAndJobsOfATeamTogetherAboveItsLimitAreMarked() {
		add(C1, 500, EventKind.CONFIGURATION_APPLIED, "team=t limit=2 index=3");
		add(C1, 1000, EventKind.JOB_PLACED, "job=j-1 team=t leaseEpoch=1 host=w1 pool=p index=4");
		add(C2, 1050, EventKind.JOB_PLACED, "job=j-1 team=t leaseEpoch=1 host=w1 pool=p index=4");
		add(E1, 1100, EventKind.ATTEMPT_STARTED, "request=1-a team=t attempt=1 host=e2");
		add(E2, 1101, EventKind.ATTEMPT_STARTED, "request=1-a team=t attempt=9 forwardedBy=e1/5/1");
		Truth.assertThat(broken()).isEmpty();
		add(E2, 1200, EventKind.ATTEMPT_STARTED, "request=1-b team=t attempt=10");
		Truth.assertThat(broken()).containsExactly("TEAM_ABOVE_LIMIT");
	}

	@Test
	void aTokenThatMovesBetweenHostsWhoseClocksDifferIsNoSecondToken() {
		add(C1, 500, EventKind.CONFIGURATION_APPLIED, "team=t limit=1 index=3");
		for (int round = 0; round < 20; round++) {
			long millis = 10_000 + round * 500;
			request(E1, millis, 2 * round, 200);
			// The clock of this host is 1.1 s late.
			request(E2, millis + 250 - 1100, 2 * round + 1, 200);
		}
		Truth.assertThat(broken(CheckSettings.DEFAULT)).containsExactly("TEAM_ABOVE_LIMIT");
		Truth.assertThat(broken(CheckSettings.DEFAULT.withClockDifferenceMillis(1100))).isEmpty();
		add(E1, 10_000, EventKind.ATTEMPT_STARTED, "request=1-c team=t attempt=100");
		Truth.assertThat(broken(CheckSettings.DEFAULT.withClockDifferenceMillis(1100)))
			.containsExactly("TEAM_ABOVE_LIMIT");
	}

	@Test
	void workUnderALimitThatWasLoweredMayEnd() {
		add(C1, 500, EventKind.CONFIGURATION_APPLIED, "team=t limit=2 index=3");
		add(C1, 1000, EventKind.CONFIGURATION_APPLIED, "team=t limit=1 index=5");
		request(E1, 1100, 1, 5000);
		request(E2, 1100, 2, 5000);
		Truth.assertThat(broken()).isEmpty();
		request(E1, 100_000, 3, 5000);
		request(E2, 100_000, 4, 5000);
		Truth.assertThat(broken()).containsExactly("TEAM_ABOVE_LIMIT");
	}

	@Test
	void attemptsOfAnEarlierLifeOfAnEntryHostEndWithIt() {
		add(C1, 500, EventKind.CONFIGURATION_APPLIED, "team=t limit=1 index=3");
		add(E1, 1000, EventKind.ATTEMPT_STARTED, "request=1-a team=t attempt=1");
		add(E1, 2000, EventKind.PROCESS_STARTED, "");
		add(E1, 3000, EventKind.ATTEMPT_STARTED, "request=1-b team=t attempt=2");
		Truth.assertThat(broken()).isEmpty();
	}

	@Test
	void membersThatDisagreeOnThePoolOfAHostAreMarked() {
		add(C1, 1000, EventKind.HOST_CHANGED, "host=w1 pool=p1 state=IN_SERVICE index=4");
		add(C2, 900, EventKind.HOST_CHANGED, "host=w1 pool=p1 state=IN_SERVICE index=4");
		add(C1, 1100, EventKind.HOST_CHANGED, "host=w1 pool=p2 state=IN_SERVICE index=5");
		add(C1, 800, EventKind.JOB_PLACED, "job=j-1 leaseEpoch=1 host=w1 pool=p2 index=6");
		Truth.assertThat(broken()).isEmpty();
		add(C2, 1100, EventKind.HOST_CHANGED, "host=w1 pool=p1 state=IN_SERVICE index=5");
		Truth.assertThat(broken()).containsExactly("HOST_IN_TWO_POOLS");
	}

	@Test
	void aJobPlacedOnAHostOfAnotherPoolIsMarked() {
		add(C1, 1000, EventKind.HOST_CHANGED, "host=w1 pool=p1 state=IN_SERVICE index=4");
		add(C1, 1100, EventKind.JOB_PLACED, "job=j-1 leaseEpoch=1 host=w1 pool=p2 index=6");
		Truth.assertThat(broken()).containsExactly("HOST_IN_TWO_POOLS");
	}

	@Test
	void aDrainThatInterruptsAJobThatItDidNotAnnounceIsMarked() {
		add(C1, 1000, EventKind.DRAIN_ANNOUNCED, "campaign=m host=w1 jobs=j-1 j-2");
		add(C2, 990, EventKind.HOST_CHANGED, "campaign=m host=w1 pool=p state=DRAINING index=4");
		add(C1, 1002, EventKind.JOB_INTERRUPTED, "job=j-2 leaseEpoch=1 host=w1 index=5");
		add(C1, 1003, EventKind.JOB_ENDED, "job=j-4 leaseEpoch=1 host=w1 index=6");
		Truth.assertThat(broken()).isEmpty();
		add(C1, 1004, EventKind.JOB_INTERRUPTED, "job=j-3 leaseEpoch=1 host=w1 index=7");
		Truth.assertThat(broken()).containsExactly("DRAIN_NOT_ANNOUNCED");
	}

	@Test
	void aStatementAfterTheInterruptionIsNoAnnouncementAndOtherInterruptionsNeedNone() {
		add(C1, 900, EventKind.JOB_INTERRUPTED, "job=j-1 leaseEpoch=1 host=w1 index=3");
		add(C1, 1001, EventKind.HOST_CHANGED, "campaign=m host=w1 pool=p state=DRAINING index=4");
		Truth.assertThat(broken()).isEmpty();
		add(C1, 1002, EventKind.JOB_INTERRUPTED, "job=j-2 leaseEpoch=1 host=w1 index=5");
		add(C1, 1003, EventKind.DRAIN_ANNOUNCED, "campaign=m host=w1 jobs=j-2");
		Truth.assertThat(broken()).containsExactly("DRAIN_NOT_ANNOUNCED");
	}

	@Test
	void theIndexOfAnEntryHostGoesUpAcrossARestartAndAMemberReplaysItsLog() {
		add(E1, 1000, EventKind.CONFIGURATION_APPLIED, "index=8");
		add(E1, 1500, EventKind.PROCESS_STARTED, "");
		add(E1, 2000, EventKind.CONFIGURATION_APPLIED, "index=8");
		add(C1, 1000, EventKind.HOST_CHANGED, "host=w1 pool=p state=IN_SERVICE index=9");
		add(C1, 1500, EventKind.PROCESS_STARTED, "");
		add(C1, 2000, EventKind.HOST_CHANGED, "host=w1 pool=p state=IN_SERVICE index=9");
		Truth.assertThat(broken()).isEmpty();
		add(C1, 2001, EventKind.HOST_CHANGED, "host=w2 pool=p state=IN_SERVICE index=7");
		Truth.assertThat(broken()).containsExactly("INDEX_WENT_BACK");
	}

	// helpers

	private void forwarded(String outcomeThere, String outcomeHere) {
		add(E1, 1000, EventKind.REQUEST_ACCEPTED, ONCE + " submission=1");
		add(E1, 1001, EventKind.ATTEMPT_STARTED, ONCE + " submission=1 attempt=2 host=e2");
		add(E2, 1002, EventKind.ATTEMPT_STARTED, "request=1-a team=t submission=7 forwardedBy=e1/5/2 attempt=8");
		add(E2, 1010, EventKind.ATTEMPT_ENDED,
				"request=1-a team=t submission=7 forwardedBy=e1/5/2 attempt=8 outcome=" + outcomeThere);
		add(E1, 1011, EventKind.ATTEMPT_ENDED, ONCE + " submission=1 attempt=2 host=e2 outcome=" + outcomeHere);
	}

	private void request(ProcessName process, long millis, int attempt, long lastsMillis) {
		String fields = "request=r-%d team=t attempt=%d".formatted(attempt, attempt);
		add(process, millis, EventKind.ATTEMPT_STARTED, fields);
		add(process, millis + lastsMillis, EventKind.ATTEMPT_ENDED, fields + " outcome=RAN");
	}

	private void add(ProcessName process, long millis, EventKind kind, String text) {
		Map<String, String> fields = new TreeMap<>(Map.of("incarnation", "5"));
		String last = "";
		for (String word : text.split(" ")) {
			String[] pair = word.split("=");
			if (pair.length == 2) {
				last = pair[0];
				fields.put(last, pair[1]);
			}
			else if (!last.isEmpty()) {
				fields.merge(last, word, (value, next) -> value + " " + next);
			}
		}
		this.events.add(new EventRecord(new HybridTimestamp(millis, this.events.size()).packed(), process, kind.name(),
				fields));
	}

	private List<String> broken() {
		return broken(CheckSettings.DEFAULT);
	}

	private List<String> broken(CheckSettings settings) {
		List<EventRecord> shuffled = new ArrayList<>(this.events);
		Collections.shuffle(shuffled, new Random(17));
		return PromiseCheck.findAll(new Timeline(shuffled).events(), settings)
			.stream()
			.map((promise) -> promise.check().name())
			.distinct()
			.toList();
	}

}
