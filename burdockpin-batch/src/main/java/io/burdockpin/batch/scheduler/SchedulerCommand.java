package io.burdockpin.batch.scheduler;

import io.burdockpin.batch.consensus.ConsensusCommand;
import io.burdockpin.batch.consensus.ConsensusReport;
import io.burdockpin.batch.port.HostChannel;
import io.burdockpin.batch.port.ReplyPort;
import io.burdockpin.batch.port.RunnerChannel;
import io.burdockpin.core.batch.call.FleetCall;
import org.apache.pekko.actor.typed.ActorRef;

/** Messages of the {@link SchedulerActor}. */
public sealed interface SchedulerCommand {

	/**
	 * A call.
	 *
	 * @param call the call
	 * @param replyTo gets one reply
	 */
	record Call(FleetCall call, ReplyPort replyTo) implements SchedulerCommand {

	}

	/**
	 * News of the replicated log.
	 *
	 * @param report the news
	 */
	record FromConsensus(ConsensusReport report) implements SchedulerCommand {

	}

	/**
	 * The replicated log runs.
	 *
	 * @param consensus takes proposals
	 */
	record AttachConsensus(ActorRef<ConsensusCommand> consensus) implements SchedulerCommand {

	}

	/**
	 * A runner has answered, or will not.
	 *
	 * @param answer the answer
	 */
	record FromRunner(RunnerChannel.Answered answer) implements SchedulerCommand {

	}

	/**
	 * The platform has answered, or will not.
	 *
	 * @param answer the answer
	 */
	record FromHosts(HostChannel.Answered answer) implements SchedulerCommand {

	}

	/**
	 * The platform has listed its hosts.
	 *
	 * @param listed the list
	 */
	record FromHostList(HostChannel.Listed listed) implements SchedulerCommand {

	}

	/** Carries nothing but itself. */
	enum Internal implements SchedulerCommand {

		/** All messages that were waiting have been handled; decide and propose now. */
		FLUSH,

		/** Time has passed. */
		TICK,

		/** Another process has opened a connection for calls. */
		CALLER_CONNECTED

	}

}
