import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The configuration grows by many routes, several times, while jobs are submitted. Right
 * after the last change was acknowledged, all processes of the core are killed at the
 * same moment, and are back within a second.
 */
final class GrownConfiguration {

	/** The largest count of big_config on a deployment in force. */
	private static final int ROUTES_A_CHANGE = 1_480;

	private static final int CHANGES = 16;

	/** Far above recoverS, which is 12. */
	private static final int RECOVERY_MILLIS = 30_000;

	private GrownConfiguration() {
	}

	static int run(Lab lab, Fleet fleet, boolean trouble) throws Exception {
		Users users = new Users(lab);
		List<ObjectNode> routes = Users.routes(Users.route("r-jobs", "/jobs/", "pool-a", 2));
		if (!users.put(Users.configuration(1, routes, List.of("pool-a")), 1_000, 25_000).isAccepted()) {
			return Main.CANNOT_RUN;
		}
		for (int number = 0; number < 3; number++) {
			fleet.add("pool-a", number, number);
		}
		Fleet.sleep(1_000);
		Set<String> accepted = ConcurrentHashMap.newKeySet();
		Thread clients = submit(lab, users, accepted);
		long acknowledged = 1;
		for (int change = 0; change < CHANGES; change++) {
			long version = 2 + change;
			for (int number = 0; trouble && number < ROUTES_A_CHANGE; number++) {
				String name = version + "x" + number;
				routes.add(Users.route("r-" + name, "/added" + name + "/", "pool-a", 2));
			}
			int timeoutMillis = 1_000 + 3 * routes.size();
			if (!users.put(Users.configuration(version, routes, List.of("pool-a")), timeoutMillis, 60_000).isAccepted()) {
				lab.log("version %d is not acknowledged; the script stops", version);
				return Main.CANNOT_RUN;
			}
			acknowledged = version;
		}
		lab.killAll(lab.controls);
		clients.interrupt();
		Fleet.sleep(300);
		for (Lab.Node node : lab.controls) {
			node.start(false);
		}
		return check(lab, users, acknowledged, accepted, lab.millis() + RECOVERY_MILLIS);
	}

	private static Thread submit(Lab lab, Users users, Set<String> accepted) {
		Thread thread = new Thread(() -> {
			try {
				for (int number = 0; !Thread.currentThread().isInterrupted(); number++) {
					String id = "%016x".formatted(0x5c0e_0000_0000_0000L + number);
					if (users.call("POST", "/jobs/" + id, Users.job("ms=200", 1, 500), 1).isAccepted()) {
						accepted.add(id);
					}
					Thread.sleep(20);
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
			node.logText().lines().filter((line) -> line.contains("corrupt")).limit(3).forEach(lab::log);
		}
		if (!isRead) {
			lab.log("BROKEN: version %d was acknowledged and is not read back %d s after the core is back", acknowledged,
					RECOVERY_MILLIS / 1_000);
		}
		if (look.status() != 200) {
			lab.log("BROKEN: %d jobs were accepted, and the last one is not known", accepted.size());
		}
		return isRead && look.status() == 200 ? Main.HELD : Main.BROKEN;
	}

}
