package io.burdockpin.runtime.service;

import java.time.Duration;

import com.google.common.truth.Truth;
import com.typesafe.config.Config;
import org.junit.jupiter.api.Test;

/** Guards against defaults of Pekko that break a promise of the design. */
class ActorConfigurationTests {

	private static final Duration LONGEST_REQUEST = Duration.ofSeconds(60);

	private final Config configuration = ActorConfiguration.load();

	@Test
	void theActorsAreNotStoppedAtOnceOnSigterm() {
		Truth.assertThat(this.configuration.getBoolean("pekko.coordinated-shutdown.run-by-jvm-shutdown-hook"))
			.isFalse();
	}

	@Test
	void aRequestOfSixtySecondsIsNotCutByTheServer() {
		Truth.assertThat(this.configuration.getDuration("pekko.http.server.request-timeout"))
			.isGreaterThan(LONGEST_REQUEST);
		Truth.assertThat(this.configuration.getDuration("pekko.http.server.idle-timeout"))
			.isGreaterThan(LONGEST_REQUEST);
	}

	@Test
	void theClientSendsNoRequestTwiceByItself() {
		Truth.assertThat(this.configuration.getInt("pekko.http.host-connection-pool.max-retries")).isEqualTo(0);
	}

}
