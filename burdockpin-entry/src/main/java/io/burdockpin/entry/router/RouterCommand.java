package io.burdockpin.entry.router;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.admission.AdmissionResult;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.membership.PeerMessage.ForwardRequest;
import io.burdockpin.core.membership.PeerMessage.QueueStatus;
import io.burdockpin.core.membership.PeerView;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.retry.FinalResponse;
import io.burdockpin.core.routing.AttemptVerdict;
import io.burdockpin.core.routing.QueuedRequest;
import io.burdockpin.core.routing.Runner;
import io.burdockpin.core.routing.RunnerCount;
import io.burdockpin.core.routing.Target;
import io.burdockpin.entry.control.ConfigurationEvent;
import io.burdockpin.entry.peer.PeerCommand;
import io.burdockpin.entry.token.TokenEvent;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;

/** Messages to the router. */
public sealed interface RouterCommand {

	/**
	 * Submits a request of a caller.
	 *
	 * @param request the request
	 * @param receivedMillis time of receipt in milliseconds since the epoch; the timeout
	 * of the request starts then
	 * @param replyTo receives the response exactly once
	 */
	record Submit(CallerRequest request, long receivedMillis,
			ActorRef<FinalResponse> replyTo) implements RouterCommand {

	}

	/**
	 * The caller of a request has disconnected. A request that has no callers left and
	 * has not been dispatched is abandoned.
	 *
	 * @param caller the actor that would have received the response
	 */
	record CallerDisconnected(ActorRef<FinalResponse> caller) implements RouterCommand {

	}

	/**
	 * Abandons a request that has no callers left if it is still waiting.
	 *
	 * @param number number of the request
	 */
	record AbandonRequest(long number) implements RouterCommand {

	}

	/**
	 * Checks a key.
	 *
	 * @param keyHash hash of the key in a request; empty if the request has no key
	 * @param replyTo receives the team of the key or a refusal
	 */
	record CheckKey(Optional<KeyHash> keyHash, ActorRef<AdmissionResult> replyTo) implements RouterCommand {

	}

	/**
	 * Records the submission of a job with a valid key.
	 *
	 * @param job identifier of the job
	 * @param team team of the key
	 * @param keyHash hash of the key
	 * @param repeatable whether the job may run more than once
	 */
	record RecordJob(JobId job, TeamName team, Optional<KeyHash> keyHash, boolean repeatable) implements RouterCommand {

	}

	/**
	 * Records a job that certainly was not accepted.
	 *
	 * @param job identifier of the job
	 * @param code reason of the refusal
	 */
	record RecordJobRefusal(JobId job, ErrorCode code) implements RouterCommand {

	}

	/**
	 * Attaches a runner or renews its attachment.
	 *
	 * @param runner the runner as it announced itself
	 * @param replyTo receives the reply
	 */
	record AnnounceRunner(Runner runner, ActorRef<Attached> replyTo) implements RouterCommand {

	}

	/**
	 * Reply to {@link AnnounceRunner}.
	 *
	 * @param attached whether the runner is attached to this entry host
	 * @param attachTo HTTP address of the entry host to attach to instead; empty if the
	 * runner should stay
	 */
	record Attached(boolean attached, Optional<String> attachTo) {

	}

	/**
	 * Queues a request until a slot is free.
	 *
	 * @param queue the queue
	 * @param request the request
	 * @param forwarded whether the request was forwarded by another entry host, which
	 * holds its token; it is not forwarded again
	 * @param retry whether the retry budget applies
	 * @param avoided targets of earlier failed attempts, avoided where possible
	 * @param replyTo receives the dispatch
	 */
	record Enqueue(QueueName queue, QueuedRequest request, boolean forwarded, boolean retry, Set<Target> avoided,
			ActorRef<Dispatch> replyTo) implements RouterCommand {

		public Enqueue {
			avoided = Set.copyOf(avoided);
		}

	}

	/**
	 * An attempt has ended.
	 *
	 * @param attempt number of the attempt
	 * @param outcome whether the request ran
	 * @param verdict the effect on the health record of the runner
	 * @param answer outcome of the response to the caller; empty if the request continues
	 * or another entry host responds to the caller
	 */
	record AttemptEnded(long attempt, Outcome outcome, AttemptVerdict verdict,
			Optional<Outcome> answer) implements RouterCommand {

	}

	/**
	 * A request has ended and its claim, if any, was completed.
	 *
	 * @param number number of the request
	 * @param requestId identifier of the request
	 * @param outcome outcome of the response
	 */
	record RequestEnded(long number, RequestId requestId, Outcome outcome) implements RouterCommand {

	}

	/**
	 * Submits a request forwarded by another entry host.
	 *
	 * @param request the request
	 * @param sender the other entry host and its incarnation
	 * @param reply sends the reply to the other entry host
	 */
	record SubmitForwarded(ForwardRequest request, Holder sender, ForwardReplySender reply) implements RouterCommand {

	}

	/**
	 * Cancels a request forwarded by another entry host if it is still waiting.
	 *
	 * @param attempt number of the attempt
	 * @param sender the other entry host and its incarnation
	 */
	record CancelForwarded(long attempt, Holder sender) implements RouterCommand {

	}

	/**
	 * The set of live peers or their load has changed.
	 *
	 * @param view the live peers
	 * @param peers forwards requests
	 */
	record PeersChanged(PeerView view, ActorRef<PeerCommand> peers) implements RouterCommand {

	}

	/**
	 * Wraps an event of the configuration feed.
	 *
	 * @param event the event
	 */
	record ConfigurationEventReceived(ConfigurationEvent event) implements RouterCommand {

	}

	/**
	 * Wraps an event of the token actor.
	 *
	 * @param event the event
	 */
	record TokenEventReceived(TokenEvent event) implements RouterCommand {

	}

	/**
	 * Withdraws keys immediately.
	 *
	 * @param keyHashes hashes of the keys
	 * @param replyTo notified when the keys are no longer accepted
	 */
	record WithdrawKeys(List<KeyHash> keyHashes, ActorRef<Done> replyTo) implements RouterCommand {

		public WithdrawKeys {
			keyHashes = List.copyOf(keyHashes);
		}

	}

	/**
	 * Requests the load and the capacity of this entry host.
	 *
	 * @param replyTo receives the status
	 */
	record ReportStatus(ActorRef<RouterStatus> replyTo) implements RouterCommand {

	}

	/**
	 * Reply to {@link ReportStatus}.
	 *
	 * @param configured whether a configuration is active
	 * @param configurationIndex index of the active configuration, 0 if there is none
	 * @param stopping whether a graceful stop has begun
	 * @param requestCount number of requests in flight
	 * @param queues slots and length of each queue with an attached runner
	 * @param runners numbers of attached runners
	 */
	record RouterStatus(boolean configured, long configurationIndex, boolean stopping, int requestCount,
			List<QueueStatus> queues, List<RunnerCount> runners) {

		public RouterStatus {
			queues = List.copyOf(queues);
			runners = List.copyOf(runners);
		}

	}

	/** Begins a graceful stop: runners are redirected to other entry hosts. */
	enum BeginStop implements RouterCommand {

		/** The only instance. */
		INSTANCE

	}

	/** Refuses new requests from now on. */
	enum StopAccepting implements RouterCommand {

		/** The only instance. */
		INSTANCE

	}

	/**
	 * Waits until no request is in flight.
	 *
	 * @param replyTo notified once
	 */
	record AwaitIdle(ActorRef<Done> replyTo) implements RouterCommand {

	}

	/** Timer tick: removes expired requests and runners. */
	enum Tick implements RouterCommand {

		/** The only instance. */
		INSTANCE

	}

}
