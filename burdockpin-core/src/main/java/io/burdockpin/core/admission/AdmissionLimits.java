package io.burdockpin.core.admission;

/**
 * Limits that requests are checked against.
 *
 * @param maximumBodyBytes largest body
 * @param maximumTimeoutMillis longest time a caller may ask for
 * @param unverifiedKeyGraceMillis how long known keys are accepted without a control
 * majority
 * @param claimWindowMillis oldest accepted identifier of a request that is not repeatable
 * @param futureWindowMillis how far such an identifier may lie in the future
 */
public record AdmissionLimits(int maximumBodyBytes, long maximumTimeoutMillis, long unverifiedKeyGraceMillis,
		long claimWindowMillis, long futureWindowMillis) {

}
