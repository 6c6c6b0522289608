package io.burdockpin.entry.router;

import io.burdockpin.core.membership.PeerEnvelope;
import io.burdockpin.core.membership.PeerMessage.ForwardAnswer;
import io.burdockpin.entry.peer.PeerCommand;
import io.burdockpin.runtime.link.LinkCommand;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * How to answer a forwarded request: on the connection on which it came.
 *
 * @param peers sends the answer
 * @param session the connection
 */
public record ForwardReplySender(ActorRef<PeerCommand> peers, ActorRef<LinkCommand<PeerEnvelope>> session) {

	/**
	 * Sends the answer.
	 * @param answer the answer
	 */
	public void send(ForwardAnswer answer) {
		this.peers.tell(new PeerCommand.SendAnswer(this.session, answer));
	}

}
