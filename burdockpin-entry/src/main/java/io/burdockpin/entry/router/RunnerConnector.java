package io.burdockpin.entry.router;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import io.burdockpin.core.routing.RunnerAttachment;
import io.burdockpin.runtime.link.TlsLinkTransport;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.OutgoingConnection;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;
import org.apache.pekko.stream.javadsl.Flow;
import scala.jdk.javaapi.DurationConverters;

/**
 * Opens HTTP connections to runners. The client settings are created once, because
 * parsing them for each attempt costs CPU time. Immutable; shared by all attempts of an
 * entry host.
 */
public final class RunnerConnector {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

	private final ActorSystem<?> system;

	private final ClientConnectionSettings settings;

	private final long longestRequestMillis;

	private final int maximumAnswerBytes;

	private final Optional<TlsLinkTransport> tls;

	/**
	 * Creates a connector.
	 * @param system the actor system that runs the connections
	 * @param longestRequest longest timeout of a request; the idle timeout of a
	 * connection is twice this time, and normally the deadline of the attempt or the
	 * limit for idle connections closes it earlier
	 * @param maximumAnswerBytes maximum size of a response body
	 * @param tls secures connections to runners that require TLS; empty if this process
	 * has no certificates
	 */
	RunnerConnector(ActorSystem<?> system, Duration longestRequest, int maximumAnswerBytes,
			Optional<TlsLinkTransport> tls) {
		this.system = system;
		this.longestRequestMillis = longestRequest.toMillis();
		this.maximumAnswerBytes = maximumAnswerBytes;
		this.tls = tls;
		this.settings = ClientConnectionSettings.create(system.classicSystem())
			.withConnectingTimeout(DurationConverters.toScala(CONNECT_TIMEOUT))
			.withIdleTimeout(DurationConverters.toScala(longestRequest.multipliedBy(2)));
	}

	/**
	 * Creates the flow of one connection. The connection is opened when the flow is
	 * materialized.
	 * @param attachment the runner to connect to
	 * @param onTrusted called when the TLS handshake has verified that the certificate of
	 * the runner is trusted and names the runner; runs on a stream thread, so it must
	 * only send a message to an actor; never called for a runner without TLS
	 * @return the flow
	 * @throws IllegalArgumentException if the address is invalid, or the runner requires
	 * TLS and this process has none
	 */
	Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> connection(RunnerAttachment attachment,
			Runnable onTrusted) {
		String address = attachment.address();
		int colon = address.lastIndexOf(':');
		String host = address.substring(0, colon);
		int port = Integer.parseInt(address.substring(colon + 1));
		return Http.get(this.system)
			.connectionTo(host)
			.toPort(port)
			.withClientConnectionSettings(attachment.tls() ? tlsSettings(attachment, onTrusted) : this.settings)
			.http();
	}

	private ClientConnectionSettings tlsSettings(RunnerAttachment attachment, Runnable onTrusted) {
		TlsLinkTransport transport = this.tls.orElseThrow(
				() -> new IllegalArgumentException("the runner requires TLS, but this process has no certificates"));
		return this.settings.withTransport(
				new TlsRunnerTransport(transport.connect(attachment.runner().value(), (peer) -> onTrusted.run())));
	}

	/**
	 * Returns the time within which a response body must be complete.
	 * @return the time in milliseconds
	 */
	long longestRequestMillis() {
		return this.longestRequestMillis;
	}

	/**
	 * Returns the maximum size of a response body.
	 * @return the size in bytes
	 */
	int maximumAnswerBytes() {
		return this.maximumAnswerBytes;
	}

}
