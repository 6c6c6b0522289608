package io.burdockpin.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.TeamName;
import org.junit.jupiter.api.Test;

/** Guards fair sharing while several teams wait, and the use of every free slot. */
class RequestQueueTests {

	private static final TeamName HEAVY = new TeamName("heavy");

	private static final TeamName LIGHT = new TeamName("light");

	private long lastNumber;

	@Test
	void teamsAreServedByTheirWeightsWhileBothWait() {
		RequestQueue queue = new RequestQueue(1000);
		fill(queue, HEAVY, 3, 300);
		fill(queue, LIGHT, 1, 300);
		Map<TeamName, Integer> served = serve(queue, 200);
		Truth.assertThat(served.get(HEAVY)).isEqualTo(150);
		Truth.assertThat(served.get(LIGHT)).isEqualTo(50);
	}

	@Test
	void aTeamGetsNoCreditForTheTimeInWhichItDidNotWait() {
		RequestQueue queue = new RequestQueue(1000);
		fill(queue, HEAVY, 1, 400);
		serve(queue, 200);
		fill(queue, LIGHT, 1, 200);
		Map<TeamName, Integer> served = serve(queue, 100);
		Truth.assertThat(served.get(HEAVY)).isAtLeast(49);
	}

	@Test
	void aTeamThatWasAtItsLimitDoesNotTakeAllSlotsAfterwards() {
		RequestQueue queue = new RequestQueue(1000);
		fill(queue, HEAVY, 1, 400);
		fill(queue, LIGHT, 1, 400);
		for (int count = 0; count < 200; count++) {
			queue.poll((request) -> !request.team().equals(Optional.of(LIGHT)));
		}
		Map<TeamName, Integer> served = serve(queue, 100);
		Truth.assertThat(served.get(HEAVY)).isAtLeast(49);
	}

	@Test
	void noSlotStaysFreeWhileARequestThatCanStartWaits() {
		RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(11);
		RequestQueue queue = new RequestQueue(50);
		int waiting = 0;
		for (int step = 0; step < 20_000; step++) {
			if (random.nextBoolean()) {
				TeamName team = new TeamName("team-" + random.nextInt(5));
				boolean accepted = queue.offer(request(team, 1 + random.nextInt(9), 0));
				Truth.assertThat(accepted).isEqualTo(waiting < 50);
				waiting += accepted ? 1 : 0;
			}
			else {
				boolean served = queue.poll((request) -> true).isPresent();
				Truth.assertThat(served).isEqualTo(waiting > 0);
				waiting -= served ? 1 : 0;
			}
			Truth.assertThat(queue.length()).isEqualTo(waiting);
		}
	}

	@Test
	void expiredAndCancelledRequestsLeaveTheQueueOnce() {
		RequestQueue queue = new RequestQueue(10);
		queue.offer(request(HEAVY, 1, 100));
		queue.offer(request(HEAVY, 1, 200));
		queue.offer(request(LIGHT, 1, 300));
		Truth.assertThat(queue.expire(100)).hasSize(1);
		Truth.assertThat(queue.cancel(2)).isPresent();
		Truth.assertThat(queue.cancel(2)).isEmpty();
		Truth.assertThat(queue.length()).isEqualTo(1);
		Truth.assertThat(queue.waitingCount(LIGHT)).isEqualTo(1);
	}

	@Test
	void aRequestThatWasPutBackIsTheNextOfItsTeam() {
		RequestQueue queue = new RequestQueue(10);
		fill(queue, HEAVY, 1, 2);
		QueuedRequest taken = queue.poll((request) -> true).get();
		queue.putBack(taken);
		Truth.assertThat(queue.poll((request) -> true)).hasValue(taken);
	}

	private void fill(RequestQueue queue, TeamName team, int weight, int count) {
		for (int index = 0; index < count; index++) {
			queue.offer(request(team, weight, Long.MAX_VALUE));
		}
	}

	private static Map<TeamName, Integer> serve(RequestQueue queue, int count) {
		Map<TeamName, Integer> served = new HashMap<>();
		for (int index = 0; index < count; index++) {
			served.merge(queue.poll((request) -> true).get().team().get(), 1, Integer::sum);
		}
		return served;
	}

	private QueuedRequest request(TeamName team, int weight, long deadlineMillis) {
		return new QueuedRequest(++this.lastNumber, Optional.of(team), weight, deadlineMillis);
	}

}
