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

/** What the router can be asked. */
public sealed interface RouterCommand {

	/**
	 * Takes a request of a caller.
	 *
	 * @param request the request
	 * @param receivedMillis when it was received; its timeout counts from then
	 * @param replyTo gets the answer exactly once
	 */
	record Submit(CallerRequest request, long receivedMillis,
			ActorRef<FinalResponse> replyTo) implements RouterCommand {

	}

	/**
	 * The caller of a request has disconnected. A request without callers that has not
	 * been dispatched is given up.
	 *
	 * @param caller what the answer would have gone to
	 */
	record CallerDisconnected(ActorRef<FinalResponse> caller) implements RouterCommand {

	}

	/**
	 * Gives a request up if it still waits.
	 *
	 * @param number its number
	 */
	record AbandonRequest(long number) implements RouterCommand {

	}

	/**
	 * Checks a key.
	 *
	 * @param keyHash hash of the key that came with a request
	 * @param replyTo gets the team or the refusal
	 */
	record CheckKey(Optional<KeyHash> keyHash, ActorRef<AdmissionResult> replyTo) implements RouterCommand {

	}

	/**
	 * Records a job that came with a valid key.
	 *
	 * @param job the job
	 * @param team its team
	 * @param keyHash hash of the key
	 * @param repeatable whether it may run again
	 */
	record RecordJob(JobId job, TeamName team, Optional<KeyHash> keyHash, boolean repeatable) implements RouterCommand {

	}

	/**
	 * Records a job that was not accepted for certain.
	 *
	 * @param job the job
	 * @param code the reason
	 */
	record RecordJobRefusal(JobId job, ErrorCode code) implements RouterCommand {

	}

	/**
	 * Takes the announcement of a runner.
	 *
	 * @param runner what it announces
	 * @param replyTo gets the reply
	 */
	record AnnounceRunner(Runner runner, ActorRef<Attached> replyTo) implements RouterCommand {

	}

	/**
	 * Reply to {@link AnnounceRunner}.
	 *
	 * @param attached whether the runner is attached here
	 * @param attachTo HTTP address of the entry host it should attach to
	 */
	record Attached(boolean attached, Optional<String> attachTo) {

	}

	/**
	 * Lets a request wait for a slot.
	 *
	 * @param queue the queue
	 * @param request the request
	 * @param forwarded whether another entry host holds its token; it is then not
	 * forwarded again
	 * @param retry whether the retry budget applies
	 * @param avoided what earlier attempts were sent to
	 * @param replyTo is told what to do
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
	 * @param attempt its number
	 * @param outcome whether it ran
	 * @param verdict what it says about the runner
	 * @param answer outcome of the answer that follows from it, none if the request goes
	 * on or another entry host answers it
	 */
	record AttemptEnded(long attempt, Outcome outcome, AttemptVerdict verdict,
			Optional<Outcome> answer) implements RouterCommand {

	}

	/**
	 * A request needs nothing more.
	 *
	 * @param number its number
	 * @param requestId its identifier
	 * @param outcome what was answered
	 */
	record RequestEnded(long number, RequestId requestId, Outcome outcome) implements RouterCommand {

	}

	/**
	 * Takes a request of another entry host.
	 *
	 * @param request the request
	 * @param sender the life of the other entry host
	 * @param reply how to answer
	 */
	record SubmitForwarded(ForwardRequest request, Holder sender, ForwardReplySender reply) implements RouterCommand {

	}

	/**
	 * Gives a request of another entry host up if it still waits.
	 *
	 * @param attempt number of the attempt
	 * @param sender the life of the other entry host
	 */
	record CancelForwarded(long attempt, Holder sender) implements RouterCommand {

	}

	/**
	 * The live peers have changed.
	 *
	 * @param view the peers
	 * @param peers forwards requests
	 */
	record PeersChanged(PeerView view, ActorRef<PeerCommand> peers) implements RouterCommand {

	}

	/**
	 * Something happened in the configuration feed.
	 *
	 * @param event what happened
	 */
	record ConfigurationEventReceived(ConfigurationEvent event) implements RouterCommand {

	}

	/**
	 * Something happened to the tokens.
	 *
	 * @param event what happened
	 */
	record TokenEventReceived(TokenEvent event) implements RouterCommand {

	}

	/**
	 * Withdraws keys at once.
	 *
	 * @param keyHashes their hashes
	 * @param replyTo is told when they no longer work
	 */
	record WithdrawKeys(List<KeyHash> keyHashes, ActorRef<Done> replyTo) implements RouterCommand {

		public WithdrawKeys {
			keyHashes = List.copyOf(keyHashes);
		}

	}

	/**
	 * Asks what this entry host can take.
	 *
	 * @param replyTo gets it
	 */
	record ReportStatus(ActorRef<RouterStatus> replyTo) implements RouterCommand {

	}

	/**
	 * Reply to {@link ReportStatus}.
	 *
	 * @param configured whether a configuration is in force
	 * @param configurationIndex index of the configuration in force, 0 if it is empty
	 * @param stopping whether no new work is taken
	 * @param requestCount requests in flight
	 * @param queues what the queues can take
	 * @param runners the attached runners
	 */
	record RouterStatus(boolean configured, long configurationIndex, boolean stopping, int requestCount,
			List<QueueStatus> queues, List<RunnerCount> runners) {

		public RouterStatus {
			queues = List.copyOf(queues);
			runners = List.copyOf(runners);
		}

	}

	/** Begins a graceful stop: runners are sent elsewhere. */
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
	 * Asks to be told when no request is in flight any more.
	 *
	 * @param replyTo is told once
	 */
	record AwaitIdle(ActorRef<Done> replyTo) implements RouterCommand {

	}

	/** Time to look for what has expired. */
	enum Tick implements RouterCommand {

		/** The only instance. */
		INSTANCE

	}

}
