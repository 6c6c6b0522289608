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
		FleetReply.Refused refused = (FleetReply.Refused) this.call.overdueReply();
		Truth.assertThat(refused.reason()).isEqualTo(FleetReply.Reason.NO_LEADER);
		Truth.assertThat(refused.retryAfterMillis()).isPresent();
		Truth.assertThat(this.call.deadlineMillis()).isEqualTo(1_500);
	}

	/**
	 * Guards against a refusal that says "not run" although a member may have taken it.
	 */
	@Test
	void aCallWithoutAnAnswerIsUnknownUntilEachMemberItWasSentToHasReturnedIt() {
		this.call.sent();
		this.call.sent();
		this.call.returned();
		Truth.assertThat(this.call.overdueReply()).isInstanceOf(FleetReply.Unknown.class);
		this.call.returned();
		Truth.assertThat(this.call.overdueReply()).isInstanceOf(FleetReply.Refused.class);
	}

}
