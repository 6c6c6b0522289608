package io.burdockpin.core.batch.model;

/**
 * One life of a runner. A runner that starts again keeps its identifier and has another
 * start time.
 *
 * @param id the identifier that the runner announces
 * @param bornMillis when it started, in milliseconds since 1970 by its own clock
 */
public record RunnerKey(String id, long bornMillis) {

	@Override
	public String toString() {
		return this.id + "@" + this.bornMillis;
	}

}
