package io.burdockpin.core.admission;

/**
 * Limits that requests are checked against.
 *
 * @param maximumBodyBytes maximum length of a body
 * @param maximumTimeoutMillis maximum timeout that a caller may set
 * @param unverifiedKeyGraceMillis how long known keys are accepted after the last contact
 * with a control majority
 * @param requestIdWindow time window for the identifiers of requests that are not
 * repeatable
 */
public record AdmissionLimits(int maximumBodyBytes, long maximumTimeoutMillis, long unverifiedKeyGraceMillis,
		RequestIdWindow requestIdWindow) {

}
