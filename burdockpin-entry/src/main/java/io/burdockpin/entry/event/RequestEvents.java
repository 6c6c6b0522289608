package io.burdockpin.entry.event;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.UnaryOperator;

import io.burdockpin.core.admission.RequestFacts;
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
 * Records the events of requests, jobs and withdrawn keys, from which the time line
 * checks the promises. Keys appear only as the first digits of their hash. Mutable; owned
 * by the router actor.
 */
public final class RequestEvents {

	private final EventRecorder events;

	private final boolean recorded;

	private final Map<Long, Trace> requests = new HashMap<>();

	private final Map<Long, Attempt> attempts = new HashMap<>();

	private final Set<KeyHash> withdrawnKeys = new HashSet<>();

	/**
	 * Creates a recorder without requests.
	 * @param events stamps and writes events
	 * @param recorded whether requests and jobs are recorded; withdrawals always are
	 */
	public RequestEvents(EventRecorder events, boolean recorded) {
		this.events = events;
		this.recorded = recorded;
	}

	// requests

	/**
	 * Records a request that passed the admission checks.
	 * @param number its number on this entry host
	 * @param facts what was checked
	 * @param requestId its identifier
	 * @param team its team, none on an open queue
	 */
	public void accepted(long number, RequestFacts facts, RequestId requestId, Optional<TeamName> team) {
		if (!this.recorded) {
			return;
		}
		Trace trace = new Trace(number, requestId, team, Optional.of(facts.repeatable()), Optional.empty());
		this.requests.put(number, trace);
		write(withKey(trace.event(EventKind.REQUEST_ACCEPTED).with(EventField.QUEUE, facts.queue()), facts.keyHash()));
	}

	/**
	 * Records a request that did not pass them.
	 * @param facts what was checked
	 * @param requestId its identifier
	 * @param code the reason
	 */
	public void refused(RequestFacts facts, RequestId requestId, ErrorCode code) {
		if (this.recorded) {
			write(withKey(this.events.event(EventKind.REQUEST_REFUSED)
				.with(EventField.REQUEST, requestId)
				.with(EventField.QUEUE, facts.queue())
				.with(EventField.REPEATABLE, facts.repeatable())
				.with(EventField.CODE, code)
				.with(EventField.OUTCOME, Outcome.NOT_RUN), facts.keyHash()));
		}
	}

	/**
	 * Takes note of a request that another entry host forwarded.
	 * @param number its number on this entry host
	 * @param request the request
	 * @param sender the other entry host
	 */
	public void forwarded(long number, ForwardRequest request, Holder sender) {
		if (this.recorded) {
			this.requests.put(number, new Trace(number, request.requestId(), request.team(), Optional.empty(),
					Optional.of(attemptName(sender, request.attempt()))));
		}
	}

	/**
	 * Records an attempt on a runner of this entry host.
	 * @param number the number of the request
	 * @param attempt the number of the attempt
	 * @param runner the runner
	 */
	public void sentToRunner(long number, long attempt, RunnerName runner) {
		sent(number, attempt, Optional.empty(), (event) -> event.with(EventField.RUNNER, runner));
	}

	/**
	 * Records an attempt at another entry host.
	 * @param number the number of the request
	 * @param attempt the number of the attempt
	 * @param host the entry host
	 */
	public void sentToPeer(long number, long attempt, HostName host) {
		sent(number, attempt, Optional.of(host), (event) -> event.with(EventField.HOST, host));
	}

	/**
	 * Records the end of an attempt.
	 * @param attempt the number of the attempt
	 * @param outcome how it ended
	 */
	public void attemptEnded(long attempt, Outcome outcome) {
		Optional.ofNullable(this.attempts.remove(attempt)).ifPresent((ended) -> {
			Event event = ended.trace()
				.event(EventKind.ATTEMPT_ENDED)
				.with(EventField.ATTEMPT, attempt)
				.with(EventField.OUTCOME, outcome);
			write(ended.host().map((host) -> event.with(EventField.HOST, host)).orElse(event));
		});
	}

	/**
	 * Records the answer to a request. Only the entry host that accepted it answers it.
	 * @param number the number of the request
	 * @param outcome the outcome of the answer
	 */
	public void answered(long number, Outcome outcome) {
		Optional.ofNullable(this.requests.remove(number))
			.filter((trace) -> trace.forwardedBy().isEmpty())
			.ifPresent((trace) -> write(trace.event(EventKind.REQUEST_ANSWERED).with(EventField.OUTCOME, outcome)));
	}

	// jobs and keys

	/**
	 * Records a job that came with a valid key.
	 * @param job the job
	 * @param team its team
	 * @param key the hash of the key
	 * @param repeatable whether it may run again
	 */
	public void jobSubmitted(JobId job, TeamName team, Optional<KeyHash> key, boolean repeatable) {
		if (this.recorded) {
			write(withKey(this.events.event(EventKind.JOB_SUBMITTED)
				.with(EventField.JOB, job)
				.with(EventField.TEAM, team)
				.with(EventField.REPEATABLE, repeatable), key));
		}
	}

	/**
	 * Records a job that was not accepted for certain.
	 * @param job the job
	 * @param code the reason
	 */
	public void jobRefused(JobId job, ErrorCode code) {
		if (this.recorded) {
			write(this.events.event(EventKind.JOB_REFUSED)
				.with(EventField.JOB, job)
				.with(EventField.CODE, code)
				.with(EventField.OUTCOME, code.outcome()));
		}
	}

	/**
	 * Records withdrawn keys, each once in a life of the process.
	 * @param keys hashes of keys that no longer work here
	 */
	public void withdrawn(Collection<KeyHash> keys) {
		for (KeyHash key : keys) {
			if (this.withdrawnKeys.add(key)) {
				write(this.events.event(EventKind.KEY_WITHDRAWN).with(EventField.KEY, key.abbreviated()));
			}
		}
	}

	// helpers

	private void sent(long number, long attempt, Optional<HostName> host, UnaryOperator<Event> target) {
		Optional.ofNullable(this.requests.get(number)).ifPresent((trace) -> {
			this.attempts.put(attempt, new Attempt(trace, host));
			write(target.apply(trace.event(EventKind.ATTEMPT_STARTED).with(EventField.ATTEMPT, attempt)));
		});
	}

	private void write(Event event) {
		this.events.record(event);
	}

	private static Event withKey(Event event, Optional<KeyHash> key) {
		return key.map((hash) -> event.with(EventField.KEY, hash.abbreviated())).orElse(event);
	}

	private static String attemptName(Holder holder, long attempt) {
		return "%s/%d/%d".formatted(holder.host(), holder.incarnation(), attempt);
	}

	private record Attempt(Trace trace, Optional<HostName> host) {

	}

	private final class Trace {

		private final long number;

		private final RequestId requestId;

		private final Optional<TeamName> team;

		private final Optional<Boolean> repeatable;

		private final Optional<String> forwardedBy;

		Trace(long number, RequestId requestId, Optional<TeamName> team, Optional<Boolean> repeatable,
				Optional<String> forwardedBy) {
			this.number = number;
			this.requestId = requestId;
			this.team = team;
			this.repeatable = repeatable;
			this.forwardedBy = forwardedBy;
		}

		Optional<String> forwardedBy() {
			return this.forwardedBy;
		}

		Event event(EventKind kind) {
			Event event = RequestEvents.this.events.event(kind)
				.with(EventField.REQUEST, this.requestId)
				.with(EventField.SUBMISSION, this.number);
			event = with(event, EventField.TEAM, this.team);
			event = with(event, EventField.REPEATABLE, this.repeatable);
			return with(event, EventField.FORWARDED_BY, this.forwardedBy);
		}

		private static Event with(Event event, EventField field, Optional<?> value) {
			return value.isPresent() ? event.with(field, value.get()) : event;
		}

	}

}
