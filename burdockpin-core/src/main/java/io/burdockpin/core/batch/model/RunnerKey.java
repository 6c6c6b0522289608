package io.burdockpin.core.batch.model;

/**
 * Identifies one incarnation of a runner. A runner that is restarted keeps its identifier
 * and gets a new start time.
 *
 * @param id the identifier that the runner announces
 * @param bornMillis start time in milliseconds since 1970, by the clock of the runner
 */
public record RunnerKey(String id, long bornMillis) {

	@Override
	public String toString() {
		return this.id + "@" + this.bornMillis;
	}

}
