package io.burdockpin.entry.event;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.admission.AdmissionRequest;
import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.membership.PeerMessage.ForwardRequest;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.model.TeamName;

/**
 * Records the events of requests, jobs and withdrawn keys that the timeline program
 * checks the promises against. Keys appear only as the first digits of their hash. To
 * keep the file small, a line may include earlier events of its request that have no line
 * of their own, where the checks allow it. Mutable; owned by the router actor.
 */
public final class RequestEventRecorder {

	private final EventRecorder events;

	private final boolean recorded;

	private final Map<Long, RequestTrace> requests = new HashMap<>();

	private final Map<Long, AttemptTrace> attempts = new HashMap<>();

	private List<RequestTrace> acceptedSinceLastWrite = new ArrayList<>();

	private List<RequestTrace> acceptedBeforeLastWrite = new ArrayList<>();

	private final Set<KeyHash> withdrawnKeys = new HashSet<>();

	/**
	 * Creates a recorder without open requests.
	 * @param events assigns timestamps and appends to the event log
	 * @param recorded whether requests and jobs are recorded; withdrawals always are
	 */
	public RequestEventRecorder(EventRecorder events, boolean recorded) {
		this.events = events;
		this.recorded = recorded;
	}

	// requests

	/**
	 * Handles a request that passed admission. Its acceptance is written at once only if
	 * its key is withdrawn, and otherwise together with a later event or by
	 * {@link #writePendingAcceptances}.
	 * @param number the number of the request on this entry host
	 * @param admissionRequest the values that admission checked
	 * @param requestId the identifier of the request
	 * @param team the team; empty on an open queue
	 */
	public void recordAccepted(long number, AdmissionRequest admissionRequest, RequestId requestId,
			Optional<TeamName> team) {
		if (!this.recorded) {
			return;
		}
		RequestTrace trace = RequestTrace.accepted(number, admissionRequest, requestId, team,
				this.events.nextTimestamp());
		this.requests.put(number, trace);
		if (admissionRequest.keyHash().filter(this.withdrawnKeys::contains).isPresent()) {
			trace.takeAcceptedEvent().ifPresent(this::write);
		}
		else {
			this.acceptedSinceLastWrite.add(trace);
		}
	}

	/**
	 * Writes the acceptance of requests that have waited since before the previous call,
	 * so that it is in the file even if this process is killed while they wait.
	 */
	public void writePendingAcceptances() {
		this.acceptedBeforeLastWrite.forEach((trace) -> trace.takeAcceptedEvent().ifPresent(this::write));
		this.acceptedBeforeLastWrite = this.acceptedSinceLastWrite;
		this.acceptedSinceLastWrite = new ArrayList<>();
	}

	/**
	 * Returns whether {@link #writePendingAcceptances} must be called again.
	 * @return whether there are acceptances that may still have to be written
	 */
	public boolean hasPendingAcceptances() {
		return !this.acceptedSinceLastWrite.isEmpty() || !this.acceptedBeforeLastWrite.isEmpty();
	}

	/**
	 * Records a request that admission refused.
	 * @param admissionRequest the values that admission checked
	 * @param requestId the identifier of the request
	 * @param code the reason of the refusal
	 */
	public void recordRefused(AdmissionRequest admissionRequest, RequestId requestId, ErrorCode code) {
		if (this.recorded) {
			write(withKey(this.events.newEvent(EventKind.REQUEST_REFUSED)
				.with(EventField.REQUEST, requestId)
				.with(EventField.QUEUE, admissionRequest.queue())
				.with(EventField.REPEATABLE, admissionRequest.repeatable())
				.with(EventField.CODE, code)
				.with(EventField.OUTCOME, Outcome.NOT_RUN), admissionRequest.keyHash()));
		}
	}

	/**
	 * Handles a request that another entry host forwarded. Only its attempts are recorded
	 * here.
	 * @param number the number of the request on this entry host
	 * @param request the forwarded request
	 * @param sender host and incarnation of the forwarding process
	 */
	public void recordForwarded(long number, ForwardRequest request, Holder sender) {
		if (this.recorded) {
			this.requests.put(number, RequestTrace.forwarded(number, request, sender));
		}
	}

	/**
	 * Records an attempt on a runner that is attached to this entry host.
	 * @param number the number of the request on this entry host
	 * @param attempt the number of the attempt
	 * @param runner the runner
	 */
	public void recordSentToRunner(long number, long attempt, RunnerName runner) {
		recordSent(number, attempt, EventField.RUNNER, runner);
	}

	/**
	 * Records an attempt that is forwarded to another entry host.
	 * @param number the number of the request on this entry host
	 * @param attempt the number of the attempt
	 * @param host the other entry host
	 */
	public void recordSentToPeer(long number, long attempt, HostName host) {
		recordSent(number, attempt, EventField.HOST, host);
	}

	/**
	 * Records the end of an attempt. If the request ends with the same outcome, one event
	 * covers both.
	 * @param attempt the number of the attempt
	 * @param outcome the outcome of the attempt
	 * @param answer the outcome of the answer; empty if the request continues
	 */
	public void recordAttemptEnded(long attempt, Outcome outcome, Optional<Outcome> answer) {
		Optional.ofNullable(this.attempts.remove(attempt)).ifPresent((ended) -> {
			boolean answered = answer.filter(outcome::equals).isPresent();
			EventKind kind = answered ? EventKind.REQUEST_ANSWERED : EventKind.ATTEMPT_ENDED;
			write(ended.endEvent(kind, this.events.nextTimestamp()).with(EventField.OUTCOME, outcome));
			if (answered) {
				this.requests.remove(ended.request().number());
			}
		});
	}

	/**
	 * Records the answer to a request, unless the event of its last attempt included it.
	 * A forwarded request is answered, and recorded, by the entry host that accepted it.
	 * @param number the number of the request on this entry host
	 * @param outcome the outcome of the answer
	 */
	public void recordAnswered(long number, Outcome outcome) {
		Optional.ofNullable(this.requests.remove(number))
			.filter((trace) -> !trace.isForwarded())
			.ifPresent((trace) -> write(trace.event(EventKind.REQUEST_ANSWERED, this.events.nextTimestamp())
				.with(EventField.OUTCOME, outcome)));
	}

	// jobs and keys

	/**
	 * Records a job that was submitted with a valid key.
	 * @param job the identifier of the job
	 * @param team the team of the key
	 * @param key the hash of the key
	 * @param repeatable whether the job may run again
	 */
	public void recordJobSubmitted(JobId job, TeamName team, Optional<KeyHash> key, boolean repeatable) {
		if (this.recorded) {
			write(withKey(this.events.newEvent(EventKind.JOB_SUBMITTED)
				.with(EventField.JOB, job)
				.with(EventField.TEAM, team)
				.with(EventField.REPEATABLE, repeatable), key));
		}
	}

	/**
	 * Records a job that was refused, or of which it is unknown whether it was accepted.
	 * @param job the identifier of the job
	 * @param code the reason
	 */
	public void recordJobRefused(JobId job, ErrorCode code) {
		if (this.recorded) {
			write(this.events.newEvent(EventKind.JOB_REFUSED)
				.with(EventField.JOB, job)
				.with(EventField.CODE, code)
				.with(EventField.OUTCOME, code.outcome()));
		}
	}

	/**
	 * Records withdrawn keys, each once per incarnation of the process.
	 * @param keys hashes of the keys that this entry host now refuses
	 */
	public void recordWithdrawnKeys(Collection<KeyHash> keys) {
		for (KeyHash key : keys) {
			if (this.withdrawnKeys.add(key)) {
				write(this.events.newEvent(EventKind.KEY_WITHDRAWN).with(EventField.KEY, key.abbreviated()));
			}
		}
	}

	// helpers

	private void recordSent(long number, long attempt, EventField targetField, Object target) {
		Optional.ofNullable(this.requests.get(number)).ifPresent((trace) -> {
			AttemptTrace started = new AttemptTrace(trace, attempt, targetField, target, this.events.nextTimestamp());
			this.attempts.put(attempt, started);
			started.takeStartEvent().ifPresent(this::write);
		});
	}

	private void write(Event event) {
		this.events.record(event);
	}

	private static Event withKey(Event event, Optional<KeyHash> key) {
		return key.map((hash) -> event.with(EventField.KEY, hash.abbreviated())).orElse(event);
	}

}
