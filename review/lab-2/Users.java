import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The operator and the clients. */
final class Users {

	static final String HOST = "jobs.example";

	static final String KEY = "key-of-tenant-one";

	static final String OTHER_KEY = "key-of-tenant-two";

	private final Lab lab;

	Users(Lab lab) {
		this.lab = lab;
	}

	static ObjectNode route(String name, String prefix, String service, int attempts) {
		return Http.object()
			.put("name", name)
			.put("host", HOST)
			.put("pathPrefix", prefix)
			.put("kind", "non_idempotent")
			.put("timeoutMs", 3_000)
			.put("targetLatencyMs", 600)
			.put("priority", 0)
			.put("service", service)
			.put("maxAttempts", attempts)
			.put("stretch", 1.6)
			.put("public", false);
	}

	static ObjectNode configuration(long version, List<ObjectNode> routes, List<String> services) {
		ObjectNode document = Http.object().put("version", version);
		ArrayNode queues = document.putArray("routes");
		routes.forEach(queues::add);
		ArrayNode pools = document.putArray("services");
		services.forEach((name) -> pools.addObject()
			.put("name", name)
			.put("healthPath", "/health")
			.put("connectionLimit", 64)
			.put("protocol", "h1")
			.put("tls", false)
			.put("admissionCheck", false)
			.put("spare", false));
		document.putObject("limits")
			.put("maxHeaderBytes", 16_384)
			.put("maxBodyBytes", 262_144)
			.put("headerTimeoutMs", 3_000)
			.put("idleTimeoutMs", 15_000);
		ArrayNode tenants = document.putArray("tenants");
		addTenant(tenants, "tenant-one", KEY);
		addTenant(tenants, "tenant-two", OTHER_KEY);
		return document;
	}

	private static void addTenant(ArrayNode tenants, String name, String key) {
		ObjectNode tenant = tenants.addObject().put("name", name);
		tenant.putArray("apiKeys").add(key);
		tenant.put("priority", 1).put("weight", 26);
		tenant.putObject("upperLimit").put("cpu", 0).put("memMb", 0).put("gpu", 0);
	}

	/** Sends a configuration until it is acknowledged or refused. */
	Http.Answer put(ObjectNode document, int timeoutMillis, long untilMillis) throws Exception {
		return put(document, timeoutMillis, untilMillis, 0);
	}

	/** Begins with one of the control hosts. */
	Http.Answer put(ObjectNode document, int timeoutMillis, long untilMillis, int first) throws Exception {
		byte[] body = Http.JSON.writeValueAsBytes(document);
		int attempt = 0;
		while (true) {
			Lab.Node node = this.lab.controls.get((first + attempt) % this.lab.controls.size());
			Http.Answer answer = Http.send("PUT", node.control(), "/api/configuration", body, timeoutMillis, Map.of());
			this.lab.log("operator sends version %d (%d bytes) to %s: %s", document.get("version").asLong(), body.length,
					node.name, answer);
			attempt++;
			boolean isFinal = answer.isAccepted() || List.of(400, 409, 412, 413, 422).contains(answer.status());
			if (isFinal || this.lab.millis() > untilMillis) {
				return answer;
			}
			Fleet.sleep(Math.min(100L << Math.min(attempt, 4), 1_000));
		}
	}

	/** Sends a call of a client, to the next entry host after no clear answer. */
	Http.Answer call(String method, String path, ObjectNode body, int attempts) throws Exception {
		return call(KEY, method, path, body, attempts);
	}

	Http.Answer call(String key, String method, String path, ObjectNode body, int attempts) throws Exception {
		byte[] bytes = body == null ? null : Http.JSON.writeValueAsBytes(body);
		Map<String, String> headers = new HashMap<>();
		headers.put("Host", HOST);
		headers.put("Authorization", "Bearer " + key);
		headers.put("X-Deadline-Remaining", "3000");
		Http.Answer answer = null;
		for (int attempt = 0; attempt < attempts; attempt++) {
			Lab.Node node = this.lab.entries.get(attempt % this.lab.entries.size());
			answer = Http.send(method, node.front(), path, bytes, 3_000, headers);
			this.lab.log("client sends %s %s to %s: %s", method, path, node.name, answer);
			if (answer.status() != 0 && answer.status() < 500) {
				return answer;
			}
			Fleet.sleep(300);
		}
		return answer;
	}

	static ObjectNode job(String specification, int count, int cpu) {
		ObjectNode job = Http.object().put("specification", specification);
		job.putArray("steps")
			.addObject()
			.put("count", count)
			.put("cpu", cpu)
			.put("memMb", 256)
			.put("estimatedMs", Fleet.value(specification, "ms", 800));
		return job;
	}

	static List<ObjectNode> routes(ObjectNode... routes) {
		return new ArrayList<>(List.of(routes));
	}

}
