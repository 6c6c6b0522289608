package io.burdockpin.runtime.service;

import java.time.Duration;

import com.google.common.truth.Truth;
import com.typesafe.config.Config;
import org.junit.jupiter.api.Test;

/** Guards against Pekko defaults that abort or repeat requests. */
class ActorConfigurationTests {

	private static final Duration LONGEST_REQUEST = Duration.ofSeconds(60);

	private final Config configuration = ActorConfiguration.load();

	@Test
	void pekkoDoesNotStopTheActorsOnSigterm() {
		Truth.assertThat(this.configuration.getBoolean("pekko.coordinated-shutdown.run-by-jvm-shutdown-hook"))
			.isFalse();
	}

	@Test
	void aRequestOfSixtySecondsDoesNotTimeOutOnTheServer() {
		Truth.assertThat(this.configuration.getDuration("pekko.http.server.request-timeout"))
			.isGreaterThan(LONGEST_REQUEST);
		Truth.assertThat(this.configuration.getDuration("pekko.http.server.idle-timeout"))
			.isGreaterThan(LONGEST_REQUEST);
	}

	@Test
	void theClientDoesNotRetryRequests() {
		Truth.assertThat(this.configuration.getInt("pekko.http.host-connection-pool.max-retries")).isEqualTo(0);
	}

}
