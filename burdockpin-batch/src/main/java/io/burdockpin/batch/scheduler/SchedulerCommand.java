package io.burdockpin.batch.scheduler;

import io.burdockpin.batch.consensus.ConsensusCommand;
import io.burdockpin.batch.consensus.ConsensusReport;
import io.burdockpin.batch.port.HostChannel;
import io.burdockpin.batch.port.ReplyPort;
import io.burdockpin.batch.port.RunnerChannel;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.model.RunnerKey;
import org.apache.pekko.actor.typed.ActorRef;

/** Messages of the {@link SchedulerActor}. */
public sealed interface SchedulerCommand {

	/**
	 * A call to this member.
	 *
	 * @param call the call, from this process or another one
	 * @param replyTo receives exactly one reply
	 */
	record Call(FleetCall call, ReplyPort replyTo) implements SchedulerCommand {

	}

	/**
	 * A report of the replicated log.
	 *
	 * @param report the next report in log order
	 */
	record FromConsensus(ConsensusReport report) implements SchedulerCommand {

	}

	/**
	 * The replicated log is running.
	 *
	 * @param consensus accepts proposals and reads
	 */
	record AttachConsensus(ActorRef<ConsensusCommand> consensus) implements SchedulerCommand {

	}

	/**
	 * The result of an order to a runner.
	 *
	 * @param answer the order and its reply, which may be a timeout
	 */
	record FromRunner(RunnerChannel.Answered answer) implements SchedulerCommand {

	}

	/**
	 * A channel to a runner has ended.
	 *
	 * @param runner the incarnation of the runner
	 * @param channel the channel
	 */
	record ChannelStopped(RunnerKey runner, ActorRef<RunnerChannel.Command> channel) implements SchedulerCommand {

	}

	/**
	 * The result of an order to the platform.
	 *
	 * @param answer the order and its reply, which may be a timeout
	 */
	record FromHosts(HostChannel.Answered answer) implements SchedulerCommand {

	}

	/**
	 * The list of hosts of the platform.
	 *
	 * @param listed all hosts that the platform manages
	 */
	record FromHostList(HostChannel.Listed listed) implements SchedulerCommand {

	}

	/** Messages without content. */
	enum Internal implements SchedulerCommand {

		/** Sent by the actor to itself: decide and propose for the messages so far. */
		FLUSH,

		/** Sent by a timer: decide about what is due. */
		TICK,

		/** Another process has opened a connection for calls. */
		CALLER_CONNECTED

	}

}
