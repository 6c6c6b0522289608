import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The configuration grows by many routes, several times, while jobs are submitted. Right
 * after a change was acknowledged, all processes of the core are killed at the same
 * moment, and are back within a second.
 */
final class GrownLog {

	/** The largest count of big_config on a deployment in force. */
	private static final int ROUTES_A_CHANGE = 1_480;

	private static final int CHANGES = 16;

	private static final int LATER_CHANGES = 8;

	private static final int PAUSE_BEFORE_MILLIS = 2_500;

	/** The operator gives a change up after this time, far above acknowledgeMs. */
	private static final int GIVE_UP_MILLIS = 8_000;

	/** Far above recoverS, which is 12. */
	private static final int RECOVERY_MILLIS = 30_000;

	/** Together about ten jobs a second, fewer than the traffic of the site. */
	private static final int CLIENTS = 10;

	private static final int PAUSE_MILLIS = 1_000;

	private GrownLog() {
	}

	static int run(Lab lab, Fleet fleet, boolean trouble) throws Exception {
		Users users = new Users(lab);
		List<ObjectNode> routes = Users.routes(Users.route("r-jobs", "/jobs/", "pool-a", 2));
		if (!users.put(Users.configuration(1, routes, List.of("pool-a")), 1_000, 25_000).isAccepted()) {
			return Main.CANNOT_RUN;
		}
		for (int number = 0; number < 4; number++) {
			fleet.add("pool-a", number, number % 3);
		}
		Fleet.sleep(1_000);
		Set<String> accepted = ConcurrentHashMap.newKeySet();
		List<Thread> clients = new ArrayList<>();
		for (int number = 0; number < CLIENTS; number++) {
			clients.add(submit(lab, users, accepted, number));
		}
		long acknowledged = 1;
		for (int change = 0; change < CHANGES - 1; change++) {
			long version = 2 + change;
			grow(routes, version, trouble);
			boolean isAccepted = users
				.put(Users.configuration(version, routes, List.of("pool-a")), 1_000 + 3 * routes.size(),
						lab.millis() + GIVE_UP_MILLIS, lab.controls.indexOf(lab.awaitLeader()))
				.isAccepted();
			acknowledged = isAccepted ? version : acknowledged;
		}
		// The last growth, and ordinary changes after it until one is acknowledged at the
		// first attempt.
		boolean isLast = false;
		grow(routes, 1 + CHANGES, trouble);
		for (long version = 1 + CHANGES; !isLast && version < 1 + CHANGES + LATER_CHANGES; version++) {
			Fleet.sleep(PAUSE_BEFORE_MILLIS);
			routes.get(0).put("timeoutMs", 3_000 + (int) version);
			ObjectNode document = Users.configuration(version, routes, List.of("pool-a"));
			int first = lab.controls.indexOf(lab.awaitLeader());
			isLast = users.put(document, 1_000 + 3 * routes.size(), 0, first).isAccepted();
			acknowledged = isLast ? version : acknowledged;
		}
		if (!isLast) {
			lab.log("no change is acknowledged at the first attempt");
			return Main.CANNOT_RUN;
		}
		lab.killAll(lab.controls);
		clients.forEach(Thread::interrupt);
		Fleet.sleep(300);
		for (Lab.Node node : lab.controls) {
			node.start(false);
		}
		return check(lab, users, acknowledged, accepted, lab.millis() + RECOVERY_MILLIS);
	}

	private static void grow(List<ObjectNode> routes, long version, boolean trouble) {
		for (int number = 0; trouble && number < ROUTES_A_CHANGE; number++) {
			String name = version + "x" + number;
			routes.add(Users.route("r-" + name, "/added" + name + "/", "pool-a", 2));
		}
	}

	private static Thread submit(Lab lab, Users users, Set<String> accepted, int client) {
		Thread thread = new Thread(() -> {
			try {
				for (int number = 0; !Thread.currentThread().isInterrupted(); number++) {
					String id = "%08x%08x".formatted(client, number);
					if (users.call("POST", "/jobs/" + id, Users.job("ms=200", 1, 500), 1).isAccepted()) {
						accepted.add(id);
					}
					Thread.sleep(PAUSE_MILLIS);
				}
			}
			catch (Exception ex) {
				lab.log("the client stops");
			}
		});
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	private static int check(Lab lab, Users users, long acknowledged, Set<String> accepted, long untilMillis)
			throws Exception {
		boolean isRead = false;
		while (!isRead && lab.millis() < untilMillis) {
			for (Lab.Node node : lab.controls) {
				Http.Answer read = Http.send("GET", node.control(), "/api/configuration", null, 2_000, Map.of());
				long version = read.isAccepted() ? read.json().path("version").asLong() : 0;
				lab.log("operator reads from %s: %d %s, version %d", node.name, read.status(), read.failure(), version);
				isRead = isRead || version >= acknowledged;
			}
			Fleet.sleep(1_000);
		}
		String job = accepted.stream().sorted().reduce((first, second) -> second).orElse("");
		Http.Answer look = users.call("GET", "/jobs/" + job, null, 3);
		for (Lab.Node node : lab.controls) {
			lab.log("%s has ended by itself %d times", node.name, node.ownEnds);
			node.logText()
				.lines()
				.filter((line) -> line.contains("corrupt record") || line.contains("OutOfMemory"))
				.limit(4)
				.forEach(lab::log);
		}
		if (!isRead) {
			lab.log("BROKEN: version %d was acknowledged and is not read back within %d s", acknowledged,
					RECOVERY_MILLIS / 1_000);
		}
		if (look.status() != 200) {
			lab.log("BROKEN: %d jobs were accepted, and the last one is not known", accepted.size());
		}
		return isRead && look.status() == 200 ? Main.HELD : Main.BROKEN;
	}

}
