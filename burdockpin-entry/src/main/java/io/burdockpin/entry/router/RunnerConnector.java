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
 * Opens connections to runners. The settings are read once, because reading them for each
 * attempt costs processor time. Immutable; shared by the attempts of an entry host.
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
	 * @param system runs the connections
	 * @param longestRequest a silent connection ends after twice this time; the deadline
	 * of the attempt or the idle time ends it before
	 * @param maximumAnswerBytes largest answer
	 * @param tls secures connections to runners that ask for it, if this process can
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
	 * Describes a connection that is opened when the flow is run.
	 * @param life the runner
	 * @param onTrusted called when the handshake of a runner with TLS has shown a trusted
	 * certificate that names the runner; must only send to an actor; never called for a
	 * plain runner
	 * @return the flow of one connection
	 * @throws IllegalArgumentException if the address cannot be used or this process has
	 * no TLS
	 */
	Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> connection(RunnerAttachment life,
			Runnable onTrusted) {
		String address = life.address();
		int colon = address.lastIndexOf(':');
		String host = address.substring(0, colon);
		int port = Integer.parseInt(address.substring(colon + 1));
		return Http.get(this.system)
			.connectionTo(host)
			.toPort(port)
			.withClientConnectionSettings(life.tls() ? secured(life, onTrusted) : this.settings)
			.http();
	}

	private ClientConnectionSettings secured(RunnerAttachment life, Runnable onTrusted) {
		TlsLinkTransport transport = this.tls
			.orElseThrow(() -> new IllegalArgumentException("this process has no TLS"));
		return this.settings
			.withTransport(new TlsRunnerTransport(transport.connect(life.runner().value(), (peer) -> onTrusted.run())));
	}

	/**
	 * Returns the time within which an answer is complete.
	 * @return the time in milliseconds
	 */
	long longestRequestMillis() {
		return this.longestRequestMillis;
	}

	/**
	 * Returns the size of the largest answer.
	 * @return the size of its body in bytes
	 */
	int maximumAnswerBytes() {
		return this.maximumAnswerBytes;
	}

}
