package io.burdockpin.runtime.socket;

import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Guards against clients that hold a connection for ever by sending single bytes. */
class ReceiveMeterTests {

	private static final ReceiveLimits LIMITS = new ReceiveLimits(1_000_000, 10, 5_000, 10_000, 4_096, 60_000);

	private final ReceiveMeter meter = new ReceiveMeter(LIMITS, 0);

	@Test
	void aConnectionWithoutARequestMayStayForTheIdleTime() {
		Truth.assertThat(this.meter.overdue(60_000)).isEmpty();
		Truth.assertThat(this.meter.overdue(60_001)).hasValue(RejectionCause.IDLE_TIME);
	}

	@Test
	void moreBytesDoNotExtendTheTimeOfAHeaderSection() {
		this.meter.enter(ReceivePhase.HEAD, 0, 1_000);
		this.meter.onTransferred(10_000, nanos(4_000), 4_000);
		Truth.assertThat(this.meter.overdue(6_000)).isEmpty();
		Truth.assertThat(this.meter.overdue(6_001)).hasValue(RejectionCause.HEAD_TIME);
	}

	@Test
	void aBodyAtTheMinimumRateMayTakeAnyTime() {
		this.meter.enter(ReceivePhase.BODY, 0, 0);
		for (int second = 1; second <= 120; second++) {
			this.meter.onTransferred(4_096, nanos(1_000 * second), 1_000 * second);
			Truth.assertThat(this.meter.overdue(1_000 * second)).isEmpty();
		}
	}

	@Test
	void aBodyBelowTheMinimumRateIsOverdue() {
		this.meter.enter(ReceivePhase.BODY, 0, 0);
		for (int second = 1; second <= 10; second++) {
			this.meter.onTransferred(4_000, nanos(1_000 * second), 1_000 * second);
		}
		Truth.assertThat(this.meter.overdue(10_001)).hasValue(RejectionCause.BODY_RATE);
	}

	@Test
	void aFastStartDoesNotPayForAStopShortOfTheEnd() {
		this.meter.enter(ReceivePhase.BODY, 0, 0);
		this.meter.onTransferred(262_143, nanos(10), 10);
		Truth.assertThat(this.meter.overdue(10_011)).hasValue(RejectionCause.BODY_RATE);
	}

	@Test
	void aRequestThatIsHandledMayWaitLongerThanAnyRequestTakes() {
		this.meter.enter(ReceivePhase.HANDLING, 0, 0);
		Truth.assertThat(this.meter.overdue(30_000)).isEmpty();
		Truth.assertThat(this.meter.overdue(60_001)).hasValue(RejectionCause.HANDLING_TIME);
	}

	@Test
	void singleBytesAreNoProgress() {
		this.meter.enter(ReceivePhase.BODY, 0, 0);
		for (int i = 1; i <= 1_000; i++) {
			this.meter.onTransferred(1, nanos(i), i);
		}
		Truth.assertThat(this.meter.progress(nanos(1_000)).stalledNanos()).isEqualTo(nanos(1_000));
		this.meter.onTransferred(4_096, nanos(1_000), 1_000);
		Truth.assertThat(this.meter.progress(nanos(1_000)).stalledNanos()).isEqualTo(0);
	}

	@Test
	void aConnectionWhoseRequestWasAnsweredIsServed() {
		Truth.assertThat(this.meter.progress(0).served()).isFalse();
		this.meter.enter(ReceivePhase.HANDLING, 0, 0);
		this.meter.enter(ReceivePhase.IDLE, 0, 0);
		Truth.assertThat(this.meter.progress(0).served()).isTrue();
	}

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
