package io.burdockpin.systemtest.fleet;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.Optional;

/**
 * How the programs of a fleet are called. Immutable.
 *
 * @param scheme {@code http} or {@code https}
 * @param client the client of HTTP/1.1
 */
public record Web(String scheme, HttpClient client) {

	private static final Duration LONGEST_CONNECT = Duration.ofSeconds(3);

	static Web of(Optional<TestAuthority> authority) {
		HttpClient.Builder client = HttpClient.newBuilder()
			.version(HttpClient.Version.HTTP_1_1)
			.connectTimeout(LONGEST_CONNECT);
		authority.ifPresent((signer) -> client.sslContext(signer.callerContext()));
		return new Web(authority.isPresent() ? "https" : "http", client.build());
	}

}
