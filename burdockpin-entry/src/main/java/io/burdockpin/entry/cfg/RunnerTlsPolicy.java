package io.burdockpin.entry.cfg;

import java.util.Optional;

import io.burdockpin.core.routing.Runner;

/** Which runners an entry host takes, by whether they take requests over TLS. */
public enum RunnerTlsPolicy {

	/** The entry host has no certificate and no trusted authority, so it sends plain. */
	PLAIN_ONLY {

		@Override
		public Optional<String> refusalReason(Runner runner) {
			return runner.tls()
					? Optional.of("runner %s takes requests over TLS, but this entry host has no tls setting"
						.formatted(runner.name().value()))
					: Optional.empty();
		}

	},

	/** Each runner chooses. */
	EITHER {

		@Override
		public Optional<String> refusalReason(Runner runner) {
			return Optional.empty();
		}

	},

	/** No request leaves the entry host unencrypted. */
	TLS_ONLY {

		@Override
		public Optional<String> refusalReason(Runner runner) {
			return runner.tls() ? Optional.empty()
					: Optional.of("runner %s takes requests without TLS, but this entry host requires TLS"
						.formatted(runner.name().value()));
		}

	};

	/**
	 * Tells why a runner is refused.
	 * @param runner what it announced
	 * @return the reason, or nothing if it is taken
	 */
	public abstract Optional<String> refusalReason(Runner runner);

}
