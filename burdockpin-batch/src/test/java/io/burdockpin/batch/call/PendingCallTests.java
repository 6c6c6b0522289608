package io.burdockpin.batch.call;

import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.batch.port.ReplyPort;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import org.junit.jupiter.api.Test;

class PendingCallTests {

	private final PendingCall call = new PendingCall(new FleetCall.Check(), ReplyPort.NONE, 1_000, 500);

	@Test
	void aCallThatWasNeverSentIsRefusedWithARetryDelay() {
		FleetReply.Refused refused = (FleetReply.Refused) this.call.failureReply(0);
		Truth.assertThat(refused.reason()).isEqualTo(FleetReply.Reason.NO_LEADER);
		Truth.assertThat(refused.retryAfterMillis()).isPresent();
		Truth.assertThat(this.call.deadlineMillis()).isEqualTo(1_500);
	}

	/** Guards against retries of all callers throughout a long outage. */
	@Test
	void theRetryDelayGrowsWithTheOutageUpToABound() {
		Truth.assertThat(retryMillis(300)).isEqualTo(1_000);
		Truth.assertThat(retryMillis(2_500)).isEqualTo(2_500);
		Truth.assertThat(retryMillis(60_000)).isEqualTo(4_000);
	}

	private int retryMillis(long leaderlessMillis) {
		return ((FleetReply.Refused) this.call.failureReply(leaderlessMillis)).retryAfterMillis().get();
	}

	/**
	 * Guards against a refusal, which means "not executed", of a call that a member may
	 * have accepted.
	 */
	@Test
	void aSentCallIsUnknownUntilEachMemberItWasSentToHasRejectedIt() {
		this.call.onSent("10.0.0.1");
		this.call.onSent("10.0.0.1");
		this.call.onRejected();
		Truth.assertThat(this.call.failureReply(0)).isInstanceOf(FleetReply.Unknown.class);
		this.call.onRejected();
		Truth.assertThat(this.call.failureReply(0)).isInstanceOf(FleetReply.Refused.class);
	}

	/**
	 * Guards against a rejection of a job that an earlier send may have got accepted.
	 */
	@Test
	void aRejectionBecauseOfOverloadIsUnknownIfTheCallWasSentTwice() {
		FleetReply overloaded = new FleetReply.Refused(FleetReply.Reason.OVERLOADED, Optional.of(1_000));
		this.call.onSent("10.0.0.1");
		Truth.assertThat(this.call.truthful(overloaded)).isEqualTo(overloaded);
		this.call.onSent("10.0.0.1");
		Truth.assertThat(this.call.truthful(overloaded)).isInstanceOf(FleetReply.Unknown.class);
		Truth.assertThat(this.call.truthful(new FleetReply.Accepted())).isEqualTo(new FleetReply.Accepted());
	}

}
