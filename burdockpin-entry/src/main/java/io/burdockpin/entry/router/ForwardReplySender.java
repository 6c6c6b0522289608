package io.burdockpin.entry.router;

import io.burdockpin.core.membership.PeerEnvelope;
import io.burdockpin.core.membership.PeerMessage.ForwardAnswer;
import io.burdockpin.entry.peer.PeerCommand;
import io.burdockpin.runtime.link.LinkCommand;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Sends the reply to a forwarded request over the connection on which the request
 * arrived.
 *
 * @param peers encodes and sends the reply
 * @param session the connection on which the request arrived
 */
public record ForwardReplySender(ActorRef<PeerCommand> peers, ActorRef<LinkCommand<PeerEnvelope>> session) {

	/**
	 * Sends the reply.
	 * @param answer outcome of the attempt and response of the runner
	 */
	public void send(ForwardAnswer answer) {
		this.peers.tell(new PeerCommand.SendAnswer(this.session, answer));
	}

}
