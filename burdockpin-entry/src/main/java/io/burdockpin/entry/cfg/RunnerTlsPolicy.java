package io.burdockpin.entry.cfg;

import java.util.Optional;

import io.burdockpin.core.routing.Runner;

/**
 * Decides whether a runner may attach, depending on whether it accepts requests over TLS.
 */
public enum RunnerTlsPolicy {

	/**
	 * Only unencrypted runners: the entry host has no certificate and no trusted
	 * authority.
	 */
	PLAIN_ONLY {

		@Override
		public Optional<String> refusalReason(Runner runner) {
			return runner.tls()
					? Optional.of("runner %s takes requests over TLS, but this entry host has no tls setting"
						.formatted(runner.name().value()))
					: Optional.empty();
		}

	},

	/** Each runner chooses whether it uses TLS. */
	EITHER {

		@Override
		public Optional<String> refusalReason(Runner runner) {
			return Optional.empty();
		}

	},

	/** Only runners with TLS, so that no request leaves the entry host unencrypted. */
	TLS_ONLY {

		@Override
		public Optional<String> refusalReason(Runner runner) {
			return runner.tls() ? Optional.empty()
					: Optional.of("runner %s takes requests without TLS, but this entry host requires TLS"
						.formatted(runner.name().value()));
		}

	};

	/**
	 * Returns why a runner is refused.
	 * @param runner the announced runner
	 * @return the reason for the log and the response; empty if the runner may attach
	 */
	public abstract Optional<String> refusalReason(Runner runner);

}
