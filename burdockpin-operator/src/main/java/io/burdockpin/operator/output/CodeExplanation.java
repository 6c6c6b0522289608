package io.burdockpin.operator.output;

import java.util.List;

import io.burdockpin.core.exc.ErrorCode;

/** Says what an error code means and what to do about it. */
public final class CodeExplanation {

	private CodeExplanation() {
	}

	/**
	 * Explains a code.
	 * @param code the code
	 * @return what is known about the work, and the advice
	 */
	public static List<String> of(ErrorCode code) {
		return List.of("%s: outcome %s, %s".formatted(code, code.outcome(), meaning(code)), advice(code));
	}

	private static String meaning(ErrorCode code) {
		return switch (code.outcome()) {
			case NOT_RUN -> "the work certainly did not run or the change certainly did not take effect";
			case RAN -> "the work ran";
			case UNKNOWN -> "the work may have run or the change may have taken effect";
		};
	}

	private static String advice(ErrorCode code) {
		return switch (code) {
			case BAD_REQUEST -> "Correct the value that the message names and send it again.";
			case BAD_SETTINGS -> "Correct the settings file at the line that the message names; "
					+ "--check-settings prints what is in force.";
			case BODY_TOO_LARGE -> "Send a smaller body, or raise limits.bodyBytes on all entry hosts.";
			case UNKNOWN_QUEUE -> "See burdockctl queue list; create the queue or correct the name.";
			case UNKNOWN_POOL -> "See burdockctl pool list; create the pool or correct the name.";
			case UNKNOWN_HOST -> "See burdockctl host list; add the host or correct the name.";
			case UNKNOWN_TEAM -> "See burdockctl team list; create the team or correct the name.";
			case UNKNOWN_JOB -> "The job was never accepted, belongs to another team, or its result has expired.";
			case UNKNOWN_CAMPAIGN -> "See burdockctl campaign list.";
			case ALREADY_EXISTS -> "Use update instead of create, or another name or request identifier.";
			case STILL_IN_USE -> "Remove what is in it or running first.";
			case KEY_MISSING -> "Send the header Burdock-Key.";
			case KEY_UNKNOWN -> "Check the key with burdockctl key list; a new grant is in force within seconds.";
			case KEY_WITHDRAWN -> "Grant the team a new key; a withdrawn key never works again.";
			case KEY_UNVERIFIED ->
				"The data centre is cut off. Mend the network, or send the request to another " + "data centre.";
			case KEY_OF_OTHER_TEAM -> "Use a key of the team that the request or job names.";
			case DEADLINE_EXCEEDED ->
				"Send the request again with the same identifier; the answer tells whether it " + "ran.";
			case DEADLINE_EXCEEDED_BEFORE_START -> "The runners were busy. Send it again, or with a longer timeout.";
			case TEAM_LIMIT_REACHED -> "Wait for the team's work to end, or raise its limit with team update.";
			case QUEUE_FULL -> "Send it again later; look at the runners of the queue if this lasts.";
			case NO_RUNNER ->
				"No runner of the queue announces itself. Check that the upstreams run and reach an " + "entry host.";
			case ALREADY_CLAIMED ->
				"The request is being run elsewhere. Send it again with the same identifier to " + "learn its outcome.";
			case ALREADY_RAN ->
				"The request ran; its answer was too large to keep. Do not send it under a new " + "identifier.";
			case REQUEST_ID_REJECTED -> "Send Burdock-Request-Id as <unix seconds>-<token>, with the current time.";
			case VERSION_CONFLICT -> "Somebody else changed the object. Read it again and decide anew.";
			case STATE_CONFLICT -> "The object is in a state that does not permit this; see its list command.";
			case BUDGET_EXCEEDED -> "Wait until hosts are back in service, or change the budget of the pool.";
			case NO_MAJORITY -> "See burdockctl member list and the control hosts; send it again when two of three or "
					+ "three of five can reach each other.";
			case OUTCOME_UNKNOWN -> "Send it again with the same request identifier; the first result comes back.";
			case UPSTREAM_FAILED -> "Look at the upstream; a request that is not repeatable may have run.";
			case STOPPING -> "Send it to another entry host.";
			case DATA_CORRUPT -> "Replace the member: see docs/OPERATIONS.md, replacing a control host.";
			case STORAGE_FAILED ->
				"Look at the disk; the process has stopped and must not be trusted to have " + "written.";
			case DECODE_FAILED ->
				"Sender and receiver do not speak the same protocol; check the address and the " + "versions.";
			case CONNECTION_FAILED -> "Check that the process runs and that the address is right.";
			case INTERNAL -> "This is a fault in burdockpin. Keep the logs and event files.";
		};
	}

}
