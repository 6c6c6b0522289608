package io.burdockpin.entry.cfg;

import java.util.OptionalLong;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.routing.Runner;
import org.junit.jupiter.api.Test;

/** Guards against unencrypted requests to runners where the settings require TLS. */
class RunnerTlsPolicyTests {

	private final Runner plain = runner(false);

	private final Runner encrypted = runner(true);

	@Test
	void anEntryHostThatRequiresTlsRefusesAPlainRunnerByName() {
		Truth.assertThat(RunnerTlsPolicy.TLS_ONLY.refusalReason(this.plain).orElseThrow()).contains("r1");
		Truth.assertThat(RunnerTlsPolicy.TLS_ONLY.refusalReason(this.encrypted)).isEmpty();
	}

	@Test
	void anEntryHostWithoutACertificateRefusesARunnerThatExpectsTls() {
		Truth.assertThat(RunnerTlsPolicy.PLAIN_ONLY.refusalReason(this.encrypted).orElseThrow()).contains("r1");
		Truth.assertThat(RunnerTlsPolicy.PLAIN_ONLY.refusalReason(this.plain)).isEmpty();
	}

	@Test
	void anEntryHostWithTlsAcceptsRunnersWithAndWithoutTlsByDefault() {
		Truth.assertThat(RunnerTlsPolicy.EITHER.refusalReason(this.encrypted)).isEmpty();
		Truth.assertThat(RunnerTlsPolicy.EITHER.refusalReason(this.plain)).isEmpty();
	}

	private static Runner runner(boolean tls) {
		return new Runner(new RunnerName("r1"), new QueueName("calls"), new DataCentre("dc1"), "127.1.0.9:80", tls, 8,
				64, 1, 0, false, OptionalLong.empty());
	}

}
