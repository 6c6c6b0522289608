package io.burdockpin.batch.call;

import com.google.common.truth.Truth;
import io.burdockpin.batch.port.ReplyPort;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import org.junit.jupiter.api.Test;

class OpenCallTests {

	private final OpenCall call = new OpenCall(new FleetCall.Check(), ReplyPort.NONE, 1_000, 500);

	@Test
	void aCallThatWasNeverSentIsRefusedWithATimeToComeBack() {
		FleetReply.Refused refused = (FleetReply.Refused) this.call.givenUpReply(0);
		Truth.assertThat(refused.reason()).isEqualTo(FleetReply.Reason.NO_LEADER);
		Truth.assertThat(refused.retryAfterMillis()).isPresent();
		Truth.assertThat(this.call.deadlineMillis()).isEqualTo(1_500);
	}

	/** Guards against callers that all come back while a long outage goes on. */
	@Test
	void theTimeToComeBackGrowsWithTheOutageUpToABound() {
		Truth.assertThat(retryMillis(300)).isEqualTo(1_000);
		Truth.assertThat(retryMillis(2_500)).isEqualTo(2_500);
		Truth.assertThat(retryMillis(60_000)).isEqualTo(4_000);
	}

	private int retryMillis(long leaderlessMillis) {
		return ((FleetReply.Refused) this.call.givenUpReply(leaderlessMillis)).retryAfterMillis().get();
	}

	/**
	 * Guards against a refusal that says "not run" although a member may have taken it.
	 */
	@Test
	void aCallWithoutAnAnswerIsUnknownUntilEachMemberItWasSentToHasReturnedIt() {
		this.call.sent("10.0.0.1");
		this.call.sent("10.0.0.1");
		this.call.returned();
		Truth.assertThat(this.call.givenUpReply(0)).isInstanceOf(FleetReply.Unknown.class);
		this.call.returned();
		Truth.assertThat(this.call.givenUpReply(0)).isInstanceOf(FleetReply.Refused.class);
	}

}
