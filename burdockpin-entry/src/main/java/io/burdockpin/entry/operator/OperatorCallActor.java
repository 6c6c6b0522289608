package io.burdockpin.entry.operator;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongFunction;

import io.burdockpin.core.client.CallResult;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import io.burdockpin.core.state.TokenCommand;
import io.burdockpin.entry.control.ControlCommand;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.Behaviors;

/** Sends one operator request to the leader and converts the result for the operator. */
final class OperatorCallActor {

	private OperatorCallActor() {
	}

	static Behavior<CallResult> create(OperatorCommand command, long timeoutMillis, ActorRef<ControlCommand> control) {
		return Behaviors.setup((context) -> {
			control.tell(new ControlCommand.Call(message(command.request()), timeoutMillis, context.getSelf()));
			return Behaviors.receiveMessage((result) -> {
				command.replyTo().tell(reply(result));
				return Behaviors.stopped();
			});
		});
	}

	private static LongFunction<ClientMessage> message(OperatorRequest request) {
		if (request instanceof OperatorRequest.Change change) {
			return (correlation) -> new ClientMessage.Propose(correlation, Optional.of(change.requestId()),
					change.expectedVersion(), change.command());
		}
		if (request instanceof OperatorRequest.ChangeMember change) {
			return (correlation) -> new ClientMessage.ChangeMember(correlation, change.requestId(), change.kind(),
					change.host(), change.incarnation(), change.address());
		}
		if (request instanceof OperatorRequest.ForgetHolder forget) {
			return (correlation) -> new ClientMessage.Propose(correlation, Optional.of(forget.requestId()),
					OptionalLong.empty(), new TokenCommand.ForgetHost(forget.host()));
		}
		OperatorRequest.Ask ask = (OperatorRequest.Ask) request;
		return (correlation) -> new ClientMessage.QueryRequest(correlation, ask.query());
	}

	static OperatorReply reply(CallResult result) {
		if (result instanceof CallResult.NotProposed notProposed) {
			return OperatorReply.Failed.of(ErrorCode.NO_MAJORITY, notProposed.reason());
		}
		if (result instanceof CallResult.Unknown unknown) {
			return OperatorReply.Failed.of(ErrorCode.OUTCOME_UNKNOWN, unknown.reason());
		}
		ClientMessage message = ((CallResult.Answered) result).message();
		if (message instanceof ClientMessage.ProposeReply reply) {
			return OperatorReply.ofResult(reply.index(), reply.result(), reply.unconfirmed());
		}
		if (message instanceof ClientMessage.QueryReply reply) {
			return new OperatorReply.Answered(reply.index(), reply.current(), reply.result());
		}
		return OperatorReply.Failed.of(ErrorCode.INTERNAL, "the leader sent a reply of an unexpected type");
	}

}
