import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * A heartbeat ("ready") of a runner is held up by a partition between the runner and one
 * control host. After a second without an answer the runner calls the next control host;
 * it drains by then, which is acknowledged. The leader is restarted as planned. Then the
 * delayed heartbeat arrives.
 */
final class LateHeartbeat {

	private static final int DRAIN_MILLIS = 2_000;

	/** From this time after the restart, the machines are in touch again. */
	private static final int CONTACT_MILLIS = 3_000;

	/** After this time without an answer a runner calls the next control host. */
	private static final int ANSWER_MILLIS = 1_000;

	/**
	 * From the sending to the arrival of the delayed heartbeat: a partition of 5.5 s, and
	 * the wait until TCP sends the held bytes again.
	 */
	private static final int DELAY_MILLIS = 6_800;

	private static final int JOBS = 12;

	private LateHeartbeat() {
	}

	static int run(Lab lab, Fleet fleet, boolean trouble) throws Exception {
		Users users = new Users(lab);
		List<ObjectNode> routes = List.of(Users.route("r-jobs", "/jobs/", "pool-a", 2));
		if (!users.put(Users.configuration(1, routes, List.of("pool-a")), 1_000, 25_000).isAccepted()) {
			return Main.CANNOT_RUN;
		}
		Lab.Node leader = lab.awaitLeader();
		if (leader == null) {
			return Main.CANNOT_RUN;
		}
		// A runner at each follower, since one of these leads next.
		int leading = lab.controls.indexOf(leader);
		List<Integer> followers = List.of((leading + 1) % 3, (leading + 2) % 3);
		List<Runner> leaving = new ArrayList<>();
		for (int number = 0; number < followers.size(); number++) {
			leaving.add(fleet.add("pool-a", number, followers.get(number)));
		}
		fleet.add("pool-a", 2, followers.get(0));
		Fleet.sleep(4_000);
		long sentMillis = lab.millis();
		List<byte[]> delayed = new ArrayList<>();
		for (Runner runner : leaving) {
			runner.awaitingAnswer = true;
			delayed.add(runner.nextHeartbeat());
			lab.log("a heartbeat of runner %s is held up: %s", runner.id, new String(delayed.get(delayed.size() - 1)));
		}
		Fleet.sleep(ANSWER_MILLIS);
		long[] acknowledgedMillis = new long[leaving.size()];
		for (int number = 0; number < leaving.size(); number++) {
			Runner runner = leaving.get(number);
			runner.draining = true;
			runner.prefer(followers.get(1 - number));
			if (!runner.beat(3)) {
				return Main.CANNOT_RUN;
			}
			runner.awaitingAnswer = false;
			acknowledgedMillis[number] = lab.millis();
			lab.log("runner %s drains; its heartbeat is acknowledged", runner.id);
		}
		leader.restartPlanned();
		long inTouchMillis = lab.millis() + CONTACT_MILLIS;
		Lab.Node next = lab.awaitLeader();
		lab.log("the leader is %s", next == null ? "unknown" : next.name);
		sleepUntil(lab, sentMillis + DELAY_MILLIS - 1_500);
		// More than the runner that stays can run at a time.
		for (int number = 0; number < JOBS; number++) {
			users.call("POST", "/jobs/%016x".formatted(0x9b00_0000_0000_0000L + number), Users.job("ms=4000", 2, 1_500), 2);
		}
		sleepUntil(lab, sentMillis + DELAY_MILLIS);
		for (int number = 0; trouble && number < leaving.size(); number++) {
			Http.Answer answer = Http.send("PUT", lab.controls.get(followers.get(number)).control(),
					"/api/instances/" + leaving.get(number).id, delayed.get(number), 1_000, Map.of());
			lab.log("the delayed heartbeat of %s arrives: %s", leaving.get(number).id, answer);
		}
		Fleet.sleep(3_000);
		return check(lab, fleet, leaving, acknowledgedMillis, inTouchMillis);
	}

	private static void sleepUntil(Lab lab, long millis) {
		Fleet.sleep(Math.max(0, millis - lab.millis()));
	}

	// DRAIN: a machine in touch starts a task later than drainMs after the acknowledgement.
	private static int check(Lab lab, Fleet fleet, List<Runner> leaving, long[] acknowledgedMillis,
			long inTouchMillis) {
		int broken = 0;
		for (int number = 0; number < leaving.size(); number++) {
			for (Fleet.Event event : fleet.events()) {
				long afterMillis = event.millis() - acknowledgedMillis[number];
				boolean isLate = event.kind().equals("start") && event.runner().equals(leaving.get(number).id)
						&& afterMillis > DRAIN_MILLIS && event.millis() > inTouchMillis;
				if (isLate) {
					lab.log("BROKEN: %s is started on %s %d ms after its draining was acknowledged", event.task(),
							event.runner(), afterMillis);
					broken++;
				}
			}
		}
		return broken == 0 ? Main.HELD : Main.BROKEN;
	}

}
