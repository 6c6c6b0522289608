package io.burdockpin.entry.fake;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

import io.burdockpin.codec.thrift.impl.ThriftClientCodec;
import io.burdockpin.core.client.ClientEnvelope;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.ClientMessage.TokenGrant;
import io.burdockpin.core.client.ClientMessage.WorkerOrder;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.client.QueryResult;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.state.ClaimCommand;
import io.burdockpin.core.state.ClaimRecord;
import io.burdockpin.core.state.ClaimState;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.entry.cfg.MemberSettings;
import io.burdockpin.runtime.link.LinkCommand;
import io.burdockpin.runtime.link.LinkEvent;
import io.burdockpin.runtime.link.LinkListener;
import io.burdockpin.runtime.link.LinkSettings;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.Behaviors;

/**
 * A control member that is the only one and the leader. It accepts every proposal except
 * a conflicting claim, grants each team a fixed number of tokens, and queues the received
 * messages for the test.
 */
public final class FakeControl implements AutoCloseable {

	private static final Holder SELF = new Holder(new HostName("control-1"), 1);

	private final BlockingQueue<ClientMessage> received = new LinkedBlockingQueue<>();

	private final Map<RequestId, ClaimCommand> claims = new HashMap<>();

	private volatile ConfigurationSnapshot configuration;

	private final ReservedAddress address = new ReservedAddress("127.1.0.1");

	private final MemberSettings settings = new MemberSettings("control-1", this.address.settings());

	private final ActorRef<LinkEvent<ClientEnvelope>> owner;

	private final int tokenCount;

	private final AtomicInteger claimRepliesToDrop = new AtomicInteger();

	public FakeControl(ActorTestKit kit, ConfigurationSnapshot configuration, int tokenCount) {
		this.configuration = configuration;
		this.tokenCount = tokenCount;
		Behavior<LinkEvent<ClientEnvelope>> behavior = Behaviors.receiveMessage((event) -> {
			if (event instanceof LinkEvent.Received<ClientEnvelope> message) {
				answer(message);
			}
			return Behaviors.same();
		});
		this.owner = kit.spawn(behavior);
		kit.spawn(LinkListener.create("control", this.settings.clientAddress().socketAddress(), new ThriftClientCodec(),
				(envelope) -> envelope.sender().host().value(), LinkSettings.DEFAULT, this.owner));
	}

	public MemberSettings settings() {
		return this.settings;
	}

	@Override
	public void close() {
		this.address.close();
	}

	/** Changes the configuration without notifying the entry hosts. */
	public void changeConfiguration(ConfigurationSnapshot newer) {
		this.configuration = newer;
	}

	/** Applies the next claims, but replies that their outcome is unknown. */
	public void dropClaimReplies(int count) {
		this.claimRepliesToDrop.set(count);
	}

	/** Waits for a message of a type; earlier ones of other types are discarded. */
	public <M extends ClientMessage> M await(Class<M> type) {
		ClientMessage message = TestSupport.poll(this.received);
		while (!type.isInstance(message)) {
			message = TestSupport.poll(this.received);
		}
		return type.cast(message);
	}

	/** Waits for a proposal of a command of a type; earlier messages are discarded. */
	public <C extends Command> C awaitProposal(Class<C> type) {
		Command command = await(ClientMessage.Propose.class).command();
		while (!type.isInstance(command)) {
			command = await(ClientMessage.Propose.class).command();
		}
		return type.cast(command);
	}

	private void answer(LinkEvent.Received<ClientEnvelope> event) {
		ClientMessage message = event.message().message();
		reply(message).ifPresent((reply) -> event.session()
			.tell(new LinkCommand.Send<>(new ClientEnvelope(SELF, HybridTimestamp.ZERO, reply))));
		this.received.add(message);
	}

	private Optional<ClientMessage> reply(ClientMessage message) {
		if (message instanceof ClientMessage.Subscribe) {
			return Optional.of(new ClientMessage.FeedSnapshot(this.configuration));
		}
		if (message instanceof ClientMessage.ReadIndex read) {
			return Optional.of(new ClientMessage.ReadIndexReply(read.correlation(), this.configuration.index()));
		}
		if (message instanceof ClientMessage.Propose propose && propose.command() instanceof ClaimCommand.ClaimRequest
				&& this.claimRepliesToDrop.getAndDecrement() > 0) {
			apply(propose.command());
			return Optional.of(new ClientMessage.ProposalUnknown(propose.correlation()));
		}
		if (message instanceof ClientMessage.Propose propose) {
			return Optional.of(new ClientMessage.ProposeReply(propose.correlation(), 100, apply(propose.command()),
					List.<DataCentre>of()));
		}
		if (message instanceof ClientMessage.TokenReport report) {
			List<TokenGrant> grants = this.configuration.teams()
				.stream()
				.map((team) -> new TokenGrant(team.spec().name(), this.tokenCount, 0, this.tokenCount))
				.toList();
			return Optional
				.of(new ClientMessage.TokenGrants(report.correlation(), 1, report.sequence(), 45_000, grants));
		}
		if (message instanceof ClientMessage.WorkerReports reports) {
			List<WorkerOrder> orders = reports.reports()
				.stream()
				.map((report) -> new WorkerOrder(report.worker(), report.sequence(), 30_000, List.of(), List.of()))
				.toList();
			return Optional.of(new ClientMessage.WorkerOrders(reports.correlation(), 30_000, false, orders));
		}
		if (message instanceof ClientMessage.QueryRequest query && query.query() instanceof Query.ShowClaim show) {
			return Optional.of(new ClientMessage.QueryReply(query.correlation(), 100, true,
					new QueryResult.Claims(findClaim(show))));
		}
		return Optional.empty();
	}

	private List<ClaimRecord> findClaim(Query.ShowClaim show) {
		if (this.claims.get(show.requestId()) instanceof ClaimCommand.FinishClaim finished) {
			return List
				.of(new ClaimRecord(finished.team(), finished.requestId(), finished.holder(), ClaimState.FINISHED,
						finished.status(), finished.contentType(), finished.bodyKept(), finished.body()));
		}
		return List.of();
	}

	private CommandResult apply(Command command) {
		if (command instanceof ClaimCommand.ClaimRequest claim) {
			ClaimCommand earlier = this.claims.putIfAbsent(claim.requestId(), claim);
			if (earlier != null && !earlier.equals(claim)) {
				ErrorCode code = (earlier instanceof ClaimCommand.FinishClaim) ? ErrorCode.ALREADY_RAN
						: ErrorCode.ALREADY_CLAIMED;
				return new CommandResult.Rejected(code, "claimed before");
			}
		}
		if (command instanceof ClaimCommand.FinishClaim finish) {
			this.claims.put(finish.requestId(), finish);
		}
		if (command instanceof ClaimCommand.ReleaseClaim release) {
			this.claims.remove(release.requestId());
		}
		return new CommandResult.Accepted(1);
	}

}
