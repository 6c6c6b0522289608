package io.burdockpin.core.admission;

import java.util.Optional;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.TeamName;

/** Result of the admission checks. */
public sealed interface AdmissionResult {

	/**
	 * The request may be queued.
	 *
	 * @param team the team of its key, none for a request without key on an open queue
	 * @param weight the share of the team
	 * @param deadlineMillis when the request ends, in milliseconds since the epoch
	 */
	record Admitted(Optional<TeamName> team, int weight, long deadlineMillis) implements AdmissionResult {

	}

	/**
	 * The request is refused and did not run.
	 *
	 * @param code the reason
	 * @param message the reason in words
	 */
	record Refused(ErrorCode code, String message) implements AdmissionResult {

	}

}
