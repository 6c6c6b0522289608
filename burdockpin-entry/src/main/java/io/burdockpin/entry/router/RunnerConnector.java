package io.burdockpin.entry.router;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

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

	/**
	 * Creates a connector.
	 * @param system runs the connections
	 * @param longestRequest an idle connection ends after twice this time; the deadline
	 * of the attempt ends it before
	 */
	RunnerConnector(ActorSystem<?> system, Duration longestRequest) {
		this.system = system;
		this.settings = ClientConnectionSettings.create(system.classicSystem())
			.withConnectingTimeout(DurationConverters.toScala(CONNECT_TIMEOUT))
			.withIdleTimeout(DurationConverters.toScala(longestRequest.multipliedBy(2)));
	}

	/**
	 * Describes a connection that is opened when the flow is run.
	 * @param host number of the host
	 * @param port the port
	 * @return the flow of one connection
	 */
	Flow<HttpRequest, HttpResponse, CompletionStage<OutgoingConnection>> connection(String host, int port) {
		return Http.get(this.system).connectionTo(host).toPort(port).withClientConnectionSettings(this.settings).http();
	}

}
