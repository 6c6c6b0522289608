import java.util.List;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One version of the configuration removes a route and adds one with another name at the
 * same host and prefix, for the same service, while accepted jobs of the route wait.
 */
final class RenamedRoute {

	private static final int JOBS = 4;

	/** The bound for what is shown of a job. */
	private static final int VISIBLE_MILLIS = 3_000;

	/** The bound for a configuration to be in force. */
	private static final int CONFIG_APPLY_MILLIS = 2_000;

	/** The bounds for the end of the tasks of a cancelled job, together. */
	private static final int CANCEL_MILLIS = 3_000 + 900;

	private static final int LASTING_TASKS = 2;

	/** A job whose tasks run until it is cancelled. */
	private static final String LASTING_PATH = "/jobs/3d000000000000ff";

	private RenamedRoute() {
	}

	static int run(Lab lab, Fleet fleet, boolean trouble) throws Exception {
		Users users = new Users(lab);
		ObjectNode first = Users.route("r-first", "/jobs/", "pool-a", 2);
		if (!put(users, lab, 1, List.of(first))) {
			return Main.CANNOT_RUN;
		}
		for (int number = 0; number < 3; number++) {
			fleet.add("pool-a", number, number);
		}
		Fleet.sleep(4_000);
		for (int number = 0; number < JOBS; number++) {
			if (!users.call("POST", path(number), twoSteps(), 4).isAccepted()) {
				return Main.CANNOT_RUN;
			}
		}
		if (!users.call("POST", LASTING_PATH, lasting(), 4).isAccepted()) {
			return Main.CANNOT_RUN;
		}
		ObjectNode second = Users.route("r-second", trouble ? "/jobs/" : "/others/", "pool-a", 2);
		if (!put(users, lab, 2, trouble ? List.of(second) : List.of(first, second))) {
			return Main.CANNOT_RUN;
		}
		Fleet.sleep(VISIBLE_MILLIS + CONFIG_APPLY_MILLIS + 500);
		int gone = 0;
		for (int number = 0; number < JOBS; number++) {
			if (users.call("GET", path(number), null, 4).status() == 410) {
				lab.log("BROKEN: the accepted job %s, which nobody has cancelled, is answered 410", path(number));
				gone++;
			}
		}
		Http.Answer cancelled = users.call("DELETE", LASTING_PATH, null, 4);
		Fleet.sleep(CANCEL_MILLIS + 1_000);
		long stopped = count(fleet, "stopped", ".0.0.");
		boolean runsOn = (cancelled.isAccepted() || cancelled.status() == 410) && stopped < LASTING_TASKS;
		if (runsOn) {
			lab.log("BROKEN: %s was answered %d to its cancelling, and %d of its tasks run on", LASTING_PATH,
					cancelled.status(), LASTING_TASKS - stopped);
		}
		lab.log("%d of %d tasks of the second steps have been started", count(fleet, "start", ".0.1."), JOBS);
		return gone == 0 && !runsOn ? Main.HELD : Main.BROKEN;
	}

	private static long count(Fleet fleet, String kind, String step) {
		return fleet.events()
			.stream()
			.filter((event) -> event.kind().equals(kind) && event.task().contains(step))
			.count();
	}

	private static ObjectNode lasting() {
		ObjectNode job = Users.job("ms=600000", LASTING_TASKS, 500);
		((ObjectNode) job.get("steps").get(0)).put("longRunning", true);
		return job;
	}

	// The second step follows the first one, which takes 1.5 s.
	private static ObjectNode twoSteps() {
		ObjectNode job = Users.job("ms=1500", 1, 500);
		job.withArray("steps")
			.addObject()
			.put("count", 1)
			.put("cpu", 500)
			.put("memMb", 256)
			.put("estimatedMs", 1_500)
			.putArray("after")
			.add(0);
		return job;
	}

	private static String path(int number) {
		return "/jobs/%016x".formatted(0x3d00_0000_0000_0000L + number);
	}

	private static boolean put(Users users, Lab lab, long version, List<ObjectNode> routes) throws Exception {
		return users.put(Users.configuration(version, routes, List.of("pool-a")), 1_000, lab.millis() + 25_000)
			.isAccepted();
	}

}
