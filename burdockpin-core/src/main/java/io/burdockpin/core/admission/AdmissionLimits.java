package io.burdockpin.core.admission;

/**
 * Limits that requests are checked against.
 *
 * @param maximumBodyBytes largest body
 * @param maximumTimeoutMillis longest time a caller may ask for
 * @param unverifiedKeyGraceMillis how long known keys are accepted without a control
 * majority
 * @param requestIdWindow accepted identifiers of requests that are not repeatable
 */
public record AdmissionLimits(int maximumBodyBytes, long maximumTimeoutMillis, long unverifiedKeyGraceMillis,
		RequestIdWindow requestIdWindow) {

}
