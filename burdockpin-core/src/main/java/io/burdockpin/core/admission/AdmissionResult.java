package io.burdockpin.core.admission;

import java.util.Optional;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.TeamName;

/** Result of the admission checks. */
public sealed interface AdmissionResult {

	/**
	 * The request may be queued.
	 *
	 * @param team the team of its key, empty for a request without a key on an open queue
	 * @param weight weight of the team in the queue
	 * @param deadlineMillis deadline of the request, in milliseconds since the epoch
	 */
	record Admitted(Optional<TeamName> team, int weight, long deadlineMillis) implements AdmissionResult {

	}

	/**
	 * The request is refused and has not run.
	 *
	 * @param code error code for the caller
	 * @param message description for the caller
	 */
	record Refused(ErrorCode code, String message) implements AdmissionResult {

	}

}
