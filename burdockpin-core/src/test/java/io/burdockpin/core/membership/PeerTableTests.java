package io.burdockpin.core.membership;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import io.burdockpin.core.membership.PeerMessage.ForwardRequest;
import io.burdockpin.core.membership.PeerMessage.PeerStatus;
import io.burdockpin.core.membership.PeerMessage.QueueStatus;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.routing.PeerLoad;
import io.burdockpin.core.routing.PeerLoads;
import org.junit.jupiter.api.Test;

/**
 * Guards against requests forwarded to unavailable hosts and against key withdrawals that
 * a peer never confirms.
 */
class PeerTableTests {

	private static final QueueName QUEUE = new QueueName("quotes");

	/** Clocks of different processes may have different origins. */
	private static final long CLOCK_OFFSET_MILLIS = 7_000_000;

	private static final KeyHash KEY = KeyHash.of("key");

	private static final PeerInfo SELF = info("e1", "dc-1");

	private static final PeerInfo NEAR = info("e2", "dc-1");

	private static final PeerInfo FAR = info("e3", "dc-2");

	private long statusNumber;

	private final PeerTable table = new PeerTable(SELF, List.of(NEAR, FAR), 1000);

	@Test
	void aSilentOrStoppingPeerIsNotAvailable() {
		receiveStatus(NEAR, 1, false, 0);
		receiveStatus(FAR, 1, true, 0);
		Truth.assertThat(this.table.view(999).availablePeers()).containsExactly(NEAR);
		Truth.assertThat(this.table.view(1000).availablePeers()).isEmpty();
	}

	@Test
	void aLivePeerWithoutAConnectionIsNotAvailable() {
		receiveStatus(NEAR, 1, false, 0);
		this.table.onLinkChange(NEAR.host(), false);
		Truth.assertThat(this.table.view(1).availablePeers()).isEmpty();
		Truth.assertThat(this.table.view(1).loads()).isEmpty();
	}

	@Test
	void aStatusOfAnEarlierIncarnationIsIgnored() {
		receiveStatus(NEAR, 5, true, 0);
		Truth.assertThat(receiveStatus(NEAR, 4, false, 1)).isFalse();
		Truth.assertThat(this.table.view(1).availablePeers()).isEmpty();
	}

	@Test
	void aRestartedPeerMustConfirmWithdrawnKeysAgain() {
		receiveStatus(NEAR, 1, false, 0);
		this.table.addWithdrawnKeys(List.of(KEY));
		this.table.onKeysConfirmed(NEAR.host(), List.of(KEY));
		this.table.onKeysConfirmed(FAR.host(), List.of(KEY));
		Truth.assertThat(this.table.unconfirmedDataCentres(KEY)).isEmpty();
		receiveStatus(NEAR, 2, false, 1);
		Truth.assertThat(this.table.unconfirmedDataCentres(KEY)).containsExactly(new DataCentre("dc-1"));
		Truth.assertThat(this.table.unconfirmedKeys(NEAR.host())).containsExactly(KEY);
	}

	@Test
	void runnersAreDistributedOverTheHostsOfTheDataCentreAndMoveOnlyWhenTheirHostStops() {
		receiveStatus(NEAR, 1, false, 0);
		receiveStatus(FAR, 1, false, 0);
		PeerView view = this.table.view(1);
		List<String> redirected = IntStream.range(0, 200)
			.mapToObj((index) -> "runner-" + index)
			.filter((name) -> view.attachTo(name, false).isPresent())
			.toList();
		Truth.assertThat(redirected.size()).isAtLeast(60);
		Truth.assertThat(redirected.size()).isAtMost(140);
		redirected.forEach((name) -> Truth.assertThat(view.attachTo(name, false)).hasValue(NEAR.httpAddress()));
		Truth.assertThat(view.attachTo("runner-1", true)).hasValue(NEAR.httpAddress());
	}

	@Test
	void requestsSentSinceTheLastStatusReduceTheFreeSlotsOfThePeer() {
		receiveStatus(NEAR, 1, false, 0);
		PeerLoads loads = new PeerLoads();
		loads.update(this.table.view(1).loads());
		PeerLoad load = loads.of(QUEUE).get(0);
		loads.recordSent(QUEUE, load);
		loads.recordSent(QUEUE, load);
		loads.recordSent(QUEUE, load);
		Truth.assertThat(loads.of(QUEUE).get(0).freeSlots()).isEqualTo(0);
		Truth.assertThat(loads.of(QUEUE).get(0).waiting()).isEqualTo(1);
		receiveStatus(NEAR, 1, false, 10);
		loads.update(this.table.view(11).loads());
		Truth.assertThat(loads.of(QUEUE).get(0).freeSlots()).isEqualTo(2);
	}

	/**
	 * Guards against requests that start after their deadline because of a delayed
	 * message.
	 */
	@Test
	void aDeadlineIsConvertedToTheClockOfThePeerUntilTheConnectionCloses() {
		Truth.assertThat(this.table.deadlineAt(NEAR.host(), 2_000)).isEqualTo(OptionalLong.empty());
		receiveStatus(NEAR, 1, false, 1_000);
		Truth.assertThat(this.table.deadlineAt(NEAR.host(), 2_000))
			.isEqualTo(OptionalLong.of(1_999 - CLOCK_OFFSET_MILLIS));
		this.table.onLinkChange(NEAR.host(), false);
		Truth.assertThat(this.table.deadlineAt(NEAR.host(), 2_000)).isEqualTo(OptionalLong.empty());
	}

	@Test
	void aForwardedRequestEndsAtTheEarliestOfItsDeadlines() {
		ForwardRequest request = new ForwardRequest(1, QUEUE, Optional.empty(), new RequestId("1-a"), true, 3_000, "",
				Payload.EMPTY, OptionalLong.empty());
		Truth.assertThat(request.deadlineMillis(500, 60_000)).isEqualTo(3_500);
		Truth.assertThat(request.deadlineMillis(500, 1_000)).isEqualTo(1_500);
		ForwardRequest delayed = request.withReceiverDeadline(OptionalLong.of(400));
		Truth.assertThat(delayed.deadlineMillis(500, 60_000)).isEqualTo(400);
	}

	private boolean receiveStatus(PeerInfo peer, long incarnation, boolean stopping, long nowMillis) {
		this.table.onLinkChange(peer.host(), true);
		return this.table.onStatus(
				peer.host(), incarnation, new PeerStatus(this.statusNumber++, peer.dataCentre(), peer.httpAddress(),
						stopping, 1, List.of(new QueueStatus(QUEUE, 2, 2, 0, 5)), nowMillis - CLOCK_OFFSET_MILLIS),
				nowMillis);
	}

	private static PeerInfo info(String name, String dataCentre) {
		return new PeerInfo(new HostName(name), new DataCentre(dataCentre), name + ":80");
	}

}
