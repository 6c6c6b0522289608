import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Configurations as the operator sends them, and calls of clients. */
final class Operator {

	static final String HOST = "jobs.example";

	static final String KEY = "review-key-1";

	private static final int USUAL_LIMIT_MILLICORES = 1_955_719;

	private Operator() {
	}

	/** A configuration with one service, a queue with a key and an open queue. */
	static String configuration(int version, List<String> extraRoutes) {
		return configuration(version, extraRoutes, USUAL_LIMIT_MILLICORES);
	}

	static String configuration(int version, List<String> extraRoutes, int limitMillicores) {
		List<String> routes = new ArrayList<>();
		routes.add(route("checks", "/checks/", "panel", 600, false, 3));
		routes.add(archiveRoute());
		routes.addAll(extraRoutes);
		return document(version, routes, limitMillicores);
	}

	/** A configuration without the open queue. */
	static String configurationWithoutArchive(int version) {
		return document(version, List.of(route("checks", "/checks/", "panel", 600, false, 3)), USUAL_LIMIT_MILLICORES);
	}

	private static String archiveRoute() {
		return route("archive", "/archive/", "panel", 2_500, true, 4);
	}

	private static String document(int version, List<String> routes, int limitMillicores) {
		return """
				{"version":%d,"routes":[%s],
				"services":[{"name":"panel","healthPath":"/health","connectionLimit":64,"protocol":"h1","tls":false,\
				"admissionCheck":false,"spare":false}],
				"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
				"tenants":[{"name":"detailers","apiKeys":["%s"],"priority":1,"weight":26,\
				"upperLimit":{"cpu":%d,"memMb":6463850,"gpu":0}}]}
				""".formatted(version, String.join(",", routes), KEY, limitMillicores);
	}

	static String route(String name, String prefix, String service, int targetMillis, boolean open, int attempts) {
		return """
				{"name":"%s","host":"%s","pathPrefix":"%s","kind":"non_idempotent","timeoutMs":3000,\
				"targetLatencyMs":%d,"priority":0,"service":"%s","maxAttempts":%d,"stretch":1.6,"public":%s}"""
			.formatted(name, HOST, prefix, targetMillis, service, attempts, open);
	}

	/** Sends a configuration to one control machine after the other until it is acknowledged. */
	static boolean put(Fleet fleet, String configuration, long untilNanos) throws InterruptedException {
		for (int attempt = 0; System.nanoTime() < untilNanos; attempt++) {
			String address = fleet.controlAddresses().get(attempt % fleet.cores.size());
			Fleet.Reply reply = Fleet.call(address, "PUT", "/api/configuration", Map.of(), configuration, 1_500);
			if (reply.isSuccess()) {
				fleet.record.line("configuration acknowledged by %s", address);
				return true;
			}
			Thread.sleep(300);
		}
		return false;
	}

	static Fleet.Reply client(Fleet.Machine entry, String method, String path, String body) {
		return Fleet.call(entry.front(), method, path,
				Map.of("Host", HOST, "Authorization", "Bearer " + KEY, "X-Deadline-Remaining", "3000"), body, 3_000);
	}

	/** A call with the client's four retries, each at another entry machine. */
	static Fleet.Reply clientWithRetries(Fleet fleet, String method, String path, String body)
			throws InterruptedException {
		Fleet.Reply reply = new Fleet.Reply(0, "");
		for (int attempt = 0; attempt < 5; attempt++) {
			Fleet.Machine entry = fleet.entries.get(attempt % fleet.entries.size());
			reply = client(entry, method, path, body);
			fleet.record.line("%s %s at %s (%d bytes): %s", method, path, entry.name,
					(body == null) ? 0 : body.length(), reply);
			boolean isFinal = reply.isSuccess() || (reply.status() >= 400 && reply.status() < 500
					&& reply.status() != 429);
			if (isFinal) {
				return reply;
			}
			Thread.sleep(300);
		}
		return reply;
	}

}
