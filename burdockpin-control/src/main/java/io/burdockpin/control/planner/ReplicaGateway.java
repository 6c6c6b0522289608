package io.burdockpin.control.planner;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.control.replica.FleetRecords;
import io.burdockpin.control.replica.ReplicaMessage;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.placement.FleetView;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.JobRecord;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Adapter between the planners and the replica actor. Converts the records of the replica
 * to views and aggregates the replies to the commands of a round. Owns the tables of
 * pending requests.
 */
final class ReplicaGateway extends AbstractBehavior<ReplicaGateway.Message> {

	private final ActorRef<ReplicaMessage> replica;

	private final ActorRef<FleetRecords> recordsAdapter;

	private final ActorRef<ClientMessage> replyAdapter;

	private final Deque<ActorRef<ReplicaView>> viewRequests = new ArrayDeque<>();

	private final Map<Long, Batch> batches = new HashMap<>();

	private long lastCorrelation;

	private ReplicaGateway(ActorContext<Message> context, ActorRef<ReplicaMessage> replica) {
		super(context);
		this.replica = replica;
		this.recordsAdapter = context.messageAdapter(FleetRecords.class, RecordsArrived::new);
		this.replyAdapter = context.messageAdapter(ClientMessage.class, ReplyArrived::new);
	}

	// life cycle

	static Behavior<Message> create(ActorRef<ReplicaMessage> replica) {
		return Behaviors.setup((context) -> new ReplicaGateway(context, replica));
	}

	/**
	 * Creates a port that sends its requests to a gateway.
	 * @param gateway receives the requests
	 * @return a port that any actor may use
	 */
	static ReplicaPort portTo(ActorRef<Message> gateway) {
		return new ReplicaPort() {

			@Override
			public void requestView(ActorRef<ReplicaView> replyTo) {
				gateway.tell(new RequestView(replyTo));
			}

			@Override
			public void watch(ActorRef<ReplicaMessage.RecordsChanged> watcher) {
				gateway.tell(new Watch(watcher));
			}

			@Override
			public void propose(List<Command> commands, ActorRef<ProposalsEnded> replyTo) {
				gateway.tell(new Propose(List.copyOf(commands), replyTo));
			}

		};
	}

	@Override
	public Receive<Message> createReceive() {
		return newReceiveBuilder().onMessage(RequestView.class, this::onRequestView)
			.onMessage(Watch.class, this::onWatch)
			.onMessage(Propose.class, this::onPropose)
			.onMessage(RecordsArrived.class, this::onRecordsArrived)
			.onMessage(ReplyArrived.class, this::onReplyArrived)
			.build();
	}

	// helpers

	private Behavior<Message> onRequestView(RequestView request) {
		this.viewRequests.add(request.replyTo());
		this.replica.tell(new ReplicaMessage.FetchRecords(this.recordsAdapter));
		return this;
	}

	private Behavior<Message> onRecordsArrived(RecordsArrived arrived) {
		// The replica answers in the order of the requests.
		ActorRef<ReplicaView> replyTo = this.viewRequests.poll();
		if (replyTo != null) {
			replyTo.tell(toView(arrived.records()));
		}
		return this;
	}

	private Behavior<Message> onWatch(Watch request) {
		this.replica.tell(new ReplicaMessage.Watch(request.watcher()));
		return this;
	}

	private Behavior<Message> onPropose(Propose request) {
		Batch batch = new Batch(request.replyTo(), request.commands().size());
		for (Command command : request.commands()) {
			this.lastCorrelation++;
			this.batches.put(this.lastCorrelation, batch);
			ClientMessage.Propose proposal = new ClientMessage.Propose(this.lastCorrelation, Optional.empty(),
					OptionalLong.empty(), command);
			this.replica.tell(new ReplicaMessage.Propose(proposal, this.replyAdapter));
		}
		return this;
	}

	private Behavior<Message> onReplyArrived(ReplyArrived arrived) {
		if (arrived.reply() instanceof ClientMessage.ProposeReply reply) {
			complete(reply.correlation(), reply.result().isAccepted());
		}
		else if (arrived.reply() instanceof ClientMessage.NotLeader reply) {
			complete(reply.correlation(), false);
		}
		else if (arrived.reply() instanceof ClientMessage.ProposalUnknown reply) {
			complete(reply.correlation(), false);
		}
		return this;
	}

	private void complete(long correlation, boolean accepted) {
		Batch batch = this.batches.remove(correlation);
		if (batch != null) {
			batch.complete(accepted);
		}
	}

	private static ReplicaView toView(FleetRecords records) {
		if (!records.leader()) {
			return new ReplicaView(false, records.term(), records.confirmedMillis(), records.index(), FleetView.EMPTY);
		}
		List<JobRecord> jobs = records.jobs().stream().filter(ReplicaGateway::isRelevantToPlanners).toList();
		FleetView view = new FleetView(records.configuration().pools(), records.configuration().hosts(),
				records.configuration().teams(), jobs, records.tokens(), records.campaigns());
		return new ReplicaView(true, records.term(), records.confirmedMillis(), records.index(), view);
	}

	private static boolean isRelevantToPlanners(JobRecord job) {
		// A late worker report may still resolve an unknown outcome.
		return !job.state().ended() || job.state() == JobState.OUTCOME_UNKNOWN;
	}

	/** Messages of the gateway. */
	sealed interface Message {

	}

	private record RequestView(ActorRef<ReplicaView> replyTo) implements Message {
	}

	private record Watch(ActorRef<ReplicaMessage.RecordsChanged> watcher) implements Message {
	}

	private record Propose(List<Command> commands, ActorRef<ReplicaPort.ProposalsEnded> replyTo) implements Message {
	}

	private record RecordsArrived(FleetRecords records) implements Message {
	}

	private record ReplyArrived(ClientMessage reply) implements Message {
	}

	/** The commands of one round, of which some have no known outcome yet. */
	private static final class Batch {

		private final ActorRef<ReplicaPort.ProposalsEnded> replyTo;

		private int openCount;

		private int acceptedCount;

		private int rejectedCount;

		private Batch(ActorRef<ReplicaPort.ProposalsEnded> replyTo, int openCount) {
			this.replyTo = replyTo;
			this.openCount = openCount;
		}

		private void complete(boolean accepted) {
			this.openCount--;
			this.acceptedCount += accepted ? 1 : 0;
			this.rejectedCount += accepted ? 0 : 1;
			if (this.openCount == 0) {
				this.replyTo.tell(new ReplicaPort.ProposalsEnded(this.acceptedCount, this.rejectedCount));
			}
		}

	}

}
