package io.burdockpin.entry;

import java.io.IOException;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import com.google.common.truth.Truth;
import io.burdockpin.entry.fake.TestEntry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against invalid input that is not refused with the documented error code, or
 * that reaches a runner or the control members.
 */
class BadInputTests extends EntryTestBase {

	private TestEntry entry;

	@BeforeEach
	void startEntry() {
		this.entry = startSingle();
		this.entry.announce("runner-1", runner(), false);
	}

	@Test
	void badRequestsAreRefusedWithTheirCodeAndNeverReachARunner() {
		refused(413, "BODY_TOO_LARGE", "/v1/queues/quotes/requests", REPEATABLE, "x".repeat(1024 * 1024 + 1));
		refused(404, "UNKNOWN_QUEUE", "/v1/queues/none/requests", REPEATABLE, "b");
		refused(400, "BAD_REQUEST", "/v1/queues/%20/requests", REPEATABLE, "b");
		refused(400, "BAD_REQUEST", "/v1/queues", REPEATABLE, "b");
		refused(401, "KEY_MISSING", Map.of());
		refused(403, "KEY_UNKNOWN", Map.of("Burdock-Key", "guess"));
		refused(403, "KEY_WITHDRAWN", Map.of("Burdock-Key", "key-2"));
		refused(403, "UNKNOWN_TEAM", Map.of("Burdock-Key", "key-3"));
		refused(400, "REQUEST_ID_REJECTED", Map.of("Burdock-Key", "key-1"));
		refused(400, "REQUEST_ID_REJECTED", Map.of("Burdock-Key", "key-1", "Burdock-Request-Id", "1000-old"));
		refused(400, "REQUEST_ID_REJECTED", Map.of("Burdock-Key", "key-1", "Burdock-Request-Id", "no-time"));
		refused(400, "BAD_REQUEST", Map.of("Burdock-Key", "key-1", "Burdock-Request-Id", "a b"));
		refused(400, "BAD_REQUEST", Map.of("Burdock-Key", "key-1", "Burdock-Repeatable", "yes"));
		refused(400, "BAD_REQUEST", timeout("soon"));
		refused(400, "BAD_REQUEST", timeout("-1"));
		refused(400, "BAD_REQUEST", timeout("60001"));
		refused(400, "BAD_REQUEST", timeout("99999999999999999999"));
		refused(504, "DEADLINE_EXCEEDED_BEFORE_START", timeout("0"));
		Truth.assertThat(runner().pendingCallCount()).isEqualTo(0);
	}

	/**
	 * Guards against a connection that is closed while its caller still sends, which
	 * loses the refusal. The body is longer than the system buffers.
	 */
	@Test
	void aCallerThatSendsTheWholeOfABodyThatIsTooLargeGetsTheRefusal() throws IOException {
		byte[] body = new byte[8 * 1024 * 1024];
		try (Socket caller = this.entry.openConnection()) {
			for (int request = 0; request < 2; request++) {
				String head = "POST /v1/queues/quotes/requests HTTP/1.1\r\nHost: h\r\nBurdock-Key: key-1\r\n"
						+ "Burdock-Repeatable: true\r\nContent-Length: %d\r\n\r\n".formatted(body.length);
				caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
				caller.getOutputStream().write(body);
				StringBuilder received = new StringBuilder();
				while (!received.toString().endsWith("}")) {
					int next = caller.getInputStream().read();
					Truth.assertWithMessage(received.toString()).that(next).isAtLeast(0);
					received.append((char) next);
				}
				Truth.assertThat(received.toString()).startsWith("HTTP/1.1 413 ");
				Truth.assertThat(received.toString()).contains("\"code\":\"BODY_TOO_LARGE\"");
			}
		}
	}

	@Test
	void aCallerThatAsksBeforeItSendsABodyThatIsTooLargeIsRefusedAtOnce() throws IOException {
		try (Socket caller = this.entry.openConnection()) {
			caller.getOutputStream()
				.write(("POST /v1/queues/quotes/requests HTTP/1.1\r\nHost: h\r\nBurdock-Key: key-1\r\n"
						+ "Burdock-Repeatable: true\r\nExpect: 100-continue\r\nContent-Length: 2000000\r\n\r\n")
					.getBytes(StandardCharsets.US_ASCII));
			String received = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
			Truth.assertThat(received).startsWith("HTTP/1.1 413 ");
			Truth.assertThat(received).contains("\r\nConnection: close\r\n");
		}
	}

	@Test
	void badJobsAreRefusedBeforeTheyAreProposed() {
		Map<String, String> headers = Map.of("Burdock-Key", "key-1", "Burdock-Request-Id", "1-job");
		refused(400, "BAD_REQUEST", "/v1/jobs", headers, "{");
		refused(400, "BAD_REQUEST", "/v1/jobs", headers, "null");
		refused(400, "BAD_REQUEST", "/v1/jobs", headers, job(-1, 64, 1000, ""));
		refused(400, "BAD_REQUEST", "/v1/jobs", headers, job(2_000_000_000, 64, 1000, ""));
		refused(400, "BAD_REQUEST", "/v1/jobs", headers, job(1000, 64, -5, ""));
		refused(400, "BAD_REQUEST", "/v1/jobs", headers, job(1000, 64, 1000, "?"));
		refused(413, "BODY_TOO_LARGE", "/v1/jobs", headers, job(1000, 64, 1000, "A".repeat(200_000)));
		refused(400, "REQUEST_ID_REJECTED", "/v1/jobs", Map.of("Burdock-Key", "key-1"), job(1000, 64, 1000, ""));
		refused(400, "REQUEST_ID_REJECTED", "/v1/jobs", headers, job(1000, 64, 1000, ""));
		refused(401, "KEY_MISSING", "/v1/jobs", Map.of("Burdock-Request-Id", "1-job"), job(1000, 64, 1000, ""));
	}

	@Test
	void badAnnouncementsAreRefused() {
		refused(400, "BAD_REQUEST", "/v1/upstreams/announce", Map.of(), "{}");
		refused(400, "BAD_REQUEST", "/v1/upstreams/announce", Map.of(), runnerDocument("127.1.0.9:99999", 8));
		refused(400, "BAD_REQUEST", "/v1/upstreams/announce", Map.of(), runnerDocument("somewhere", 8));
		refused(400, "BAD_REQUEST", "/v1/upstreams/announce", Map.of(), runnerDocument("127.1.0.9:80", -8));
		refused(400, "BAD_REQUEST", "/v1/upstreams/announce", Map.of(), runnerDocument("127.1.0.9:80", 2_000_000));
		refused(400, "BAD_REQUEST", "/v1/upstreams/announce", Map.of(),
				runnerDocument("127.1.0.9:80", 8).replace("{", "{\"tls\":true,"));
		refused(400, "BAD_REQUEST", "/v1/workers/announce", Map.of(), "{\"worker\":\"w\",\"sequence\":-1}");
		refused(400, "DECODE_FAILED", "/v1/operator", Map.of(), "{\"type\":\"noSuchThing\"}");
		refused(400, "DECODE_FAILED", "/v1/operator/thrift", Map.of(), "not thrift");
	}

	private void refused(int status, String code, Map<String, String> headers) {
		refused(status, code, "/v1/queues/quotes/requests", headers, "b");
	}

	private void refused(int status, String code, String path, Map<String, String> headers, String body) {
		HttpResponse<String> response = this.entry.call("POST", path, headers, body);
		Truth.assertWithMessage(path + " " + headers + " " + response.body())
			.that(response.statusCode())
			.isEqualTo(status);
		Truth.assertThat(response.body()).contains("\"code\":\"" + code + "\"");
	}

	private static Map<String, String> timeout(String value) {
		return Map.of("Burdock-Key", "key-1", "Burdock-Repeatable", "true", "Burdock-Timeout-Ms", value);
	}

	private static String job(int cpuMillicores, int memoryMebibytes, long runMillis, String payload) {
		return """
				{"pool":"night","cpuMillicores":%d,"memoryMebibytes":%d,"runMillis":%d,"payloadBase64":"%s"}"""
			.formatted(cpuMillicores, memoryMebibytes, runMillis, payload);
	}

	private static String runnerDocument(String address, int slots) {
		return """
				{"runner":"r","queue":"quotes","dataCentre":"dc-1","address":"%s","slots":%d,"connections":4,\
				"epoch":1,"slotsInUse":0,"leaving":false}""".formatted(address, slots);
	}

}
