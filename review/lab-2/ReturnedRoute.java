import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Some jobs can never be done. While their last permitted attempts run, one version
 * of the configuration removes their route, and a later one adds it again.
 */
final class ReturnedRoute {

	private static final int ATTEMPTS = 2;

	/** Jobs that can never be done, and all jobs: a share of 0.05. */
	private static final int HOPELESS_JOBS = 2;

	private static final int JOBS = 40;

	private static final int RUN_MILLIS = 2_000;

	private ReturnedRoute() {
	}

	static int run(Lab lab, Fleet fleet, boolean trouble) throws Exception {
		Users users = new Users(lab);
		ObjectNode kept = Users.route("r-kept", "/kept/", "pool-a", ATTEMPTS);
		ObjectNode removed = Users.route("r-removed", "/removed/", "pool-a", ATTEMPTS);
		List<ObjectNode> both = List.of(kept, removed);
		if (!put(users, lab, 1, both)) {
			return Main.CANNOT_RUN;
		}
		for (int number = 0; number < 3; number++) {
			fleet.add("pool-a", number, number);
		}
		Fleet.sleep(4_000);
		for (int number = 0; number < JOBS; number++) {
			boolean isHopeless = number >= JOBS - HOPELESS_JOBS;
			ObjectNode job = Users.job(isHopeless ? "ms=" + RUN_MILLIS + " fails=99" : "ms=300", 1, 500);
			if (!users.call("POST", "/removed/" + id(number), job, 4).isAccepted()) {
				return Main.CANNOT_RUN;
			}
		}
		if (!awaitRuns(lab, fleet, ATTEMPTS)) {
			lab.log("the second runs have not begun");
			return Main.CANNOT_RUN;
		}
		if (!put(users, lab, 2, trouble ? List.of(kept) : both)) {
			return Main.CANNOT_RUN;
		}
		Fleet.sleep(RUN_MILLIS + 2_000);
		if (!put(users, lab, 3, both)) {
			return Main.CANNOT_RUN;
		}
		Fleet.sleep(RUN_MILLIS + 4_000);
		for (int number = JOBS - HOPELESS_JOBS; number < JOBS; number++) {
			users.call("GET", "/removed/" + id(number), null, 2);
		}
		return check(lab, fleet);
	}

	private static boolean put(Users users, Lab lab, long version, List<ObjectNode> routes) throws Exception {
		return users.put(Users.configuration(version, routes, List.of("pool-a")), 1_000, lab.millis() + 25_000)
			.isAccepted();
	}

	private static String id(int number) {
		return "%016x".formatted(0x7a00_0000_0000_0000L + number);
	}

	private static boolean awaitRuns(Lab lab, Fleet fleet, int run) {
		long untilMillis = lab.millis() + 20_000;
		while (lab.millis() < untilMillis) {
			long begun = fleet.events().stream().filter((event) -> event.kind().equals("start") && event.run() == run).count();
			if (begun == HOPELESS_JOBS) {
				return true;
			}
			Fleet.sleep(20);
		}
		return false;
	}

	// BUDGET: a start after maxAttempts runs of the task have ended failed, if these ends
	// are taken note of then or later.
	private static int check(Lab lab, Fleet fleet) {
		Map<String, Integer> failed = new HashMap<>();
		Map<String, Integer> noted = new HashMap<>();
		List<Fleet.Event> late = new ArrayList<>();
		for (Fleet.Event event : fleet.events()) {
			switch (event.kind()) {
				case "failed" -> failed.merge(event.task(), 1, Integer::sum);
				case "noted failed" -> noted.merge(event.task(), 1, Integer::sum);
				case "start" -> {
					if (failed.getOrDefault(event.task(), 0) >= ATTEMPTS) {
						late.add(event);
					}
				}
				default -> {
				}
			}
		}
		List<Fleet.Event> broken = late.stream().filter((event) -> noted.getOrDefault(event.task(), 0) >= ATTEMPTS).toList();
		broken.forEach((event) -> lab.log("BROKEN: %s starts %s run %d after %d runs have ended failed and were noted",
				event.runner(), event.task(), event.run(), ATTEMPTS));
		return broken.isEmpty() ? Main.HELD : Main.BROKEN;
	}

}
