import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The configuration grows by many routes, several times, while jobs are submitted. No
 * process is disturbed. Then the operator reads the configuration back, and a client asks
 * for its last job.
 */
final class GrownConfiguration {

	/** The largest count of big_config on a deployment in force. */
	private static final int ROUTES_A_CHANGE = 1_480;

	private static final int CHANGES = 21;

	/** The operator gives a change up after this time, far above acknowledgeMs. */
	private static final int GIVE_UP_MILLIS = 8_000;

	/** Processes that end by themselves so often on half of the core are a fault. */
	private static final int FAULTY_ENDS = 3;

	private static final int READ_MILLIS = 20_000;

	/** Together about ten jobs a second, fewer than the traffic of the site. */
	private static final int CLIENTS = 5;

	private static final int PAUSE_MILLIS = 450;

	private GrownConfiguration() {
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
		int first = lab.controls.indexOf(lab.awaitLeader());
		long acknowledged = 1;
		for (int change = 0; change < CHANGES; change++) {
			long version = 2 + change;
			for (int number = 0; trouble && number < ROUTES_A_CHANGE; number++) {
				String name = version + "x" + number;
				routes.add(Users.route("r-" + name, "/added" + name + "/", "pool-a", 2));
			}
			int timeoutMillis = 1_000 + 3 * routes.size();
			boolean isAccepted = users
				.put(Users.configuration(version, routes, List.of("pool-a")), timeoutMillis,
						lab.millis() + GIVE_UP_MILLIS, first)
				.isAccepted();
			acknowledged = isAccepted ? version : acknowledged;
		}
		if (acknowledged == 1) {
			return Main.CANNOT_RUN;
		}
		clients.forEach(Thread::interrupt);
		return check(lab, users, acknowledged, accepted, lab.millis() + READ_MILLIS);
	}

	private static boolean isFaulty(Lab lab) {
		lab.controls.forEach((node) -> lab.log("%s has ended by itself %d times", node.name, node.ownEnds));
		long faulty = lab.controls.stream().filter((node) -> node.ownEnds >= FAULTY_ENDS).count();
		boolean isFaulty = 2 * faulty >= lab.controls.size();
		if (isFaulty) {
			lab.log("BROKEN: on %d of %d control hosts the process ended by itself %d times or more", faulty,
					lab.controls.size(), FAULTY_ENDS);
		}
		return isFaulty;
	}

	private static Thread submit(Lab lab, Users users, Set<String> accepted, int client) {
		Thread thread = new Thread(() -> {
			try {
				for (int number = 0; !Thread.currentThread().isInterrupted(); number++) {
					String id = "%08x%08x".formatted(client, number);
					if (users.call("POST", "/jobs/" + id, Users.job("ms=200", 2, 500), 1).isAccepted()) {
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
		boolean isFaulty = isFaulty(lab);
		for (Lab.Node node : lab.controls) {
			node.logText()
				.lines()
				.filter((line) -> line.contains("corrupt record") || line.contains("OutOfMemory"))
				.limit(4)
				.forEach(lab::log);
		}
		if (!isRead) {
			lab.log("BROKEN: version %d was acknowledged and is not read back within %d s", acknowledged,
					READ_MILLIS / 1_000);
		}
		if (look.status() != 200) {
			lab.log("BROKEN: %d jobs were accepted, and the last one is not known", accepted.size());
		}
		return isRead && !isFaulty && look.status() == 200 ? Main.HELD : Main.BROKEN;
	}

}
