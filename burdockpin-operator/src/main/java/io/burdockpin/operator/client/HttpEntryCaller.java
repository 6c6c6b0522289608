package io.burdockpin.operator.client;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import javax.net.ssl.SSLHandshakeException;

/** Sends calls over HTTP and waits. Used by the main thread of this one-shot program. */
public final class HttpEntryCaller implements EntryCaller {

	private static final int OK = 200;

	private final HttpClient client;

	private final Duration timeout;

	/**
	 * Creates a caller.
	 * @param client the HTTP client
	 * @param timeout how long to wait for an answer
	 */
	public HttpEntryCaller(HttpClient client, Duration timeout) {
		this.client = client;
		this.timeout = timeout;
	}

	@Override
	public byte[] call(String entry, byte[] body) throws IOException {
		HttpRequest request = HttpRequest.newBuilder(URI.create(address(entry) + "/v1/operator/thrift"))
			.version(HttpClient.Version.HTTP_1_1)
			.timeout(this.timeout)
			.header("Content-Type", "application/x-thrift")
			.POST(HttpRequest.BodyPublishers.ofByteArray(body))
			.build();
		try {
			HttpResponse<byte[]> response = this.client.send(request, HttpResponse.BodyHandlers.ofByteArray());
			if (response.statusCode() != OK) {
				throw new IOException("status %d".formatted(response.statusCode()));
			}
			return response.body();
		}
		catch (ConnectException | HttpConnectTimeoutException ex) {
			throw new NotSentException("cannot connect", ex);
		}
		catch (SSLHandshakeException ex) {
			throw new NotSentException("no trusted connection: " + ex.getMessage(), ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
	}

	private static String address(String entry) {
		return entry.contains("://") ? entry : "http://" + entry;
	}

}
