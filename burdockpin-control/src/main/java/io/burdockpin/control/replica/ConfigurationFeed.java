package io.burdockpin.control.replica;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.consensus.ConsensusMessage.FeedConfirmation;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.state.ConfigurationSnapshot;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Subscribers of the configuration feed of this member. Mutable; owned by the replica
 * actor.
 */
final class ConfigurationFeed {

	private final Map<ActorRef<ClientMessage>, FeedConfirmation> subscribers = new HashMap<>();

	// access

	int subscriberCount() {
		return this.subscribers.size();
	}

	List<FeedConfirmation> confirmations() {
		return List.copyOf(this.subscribers.values());
	}

	// changes

	void subscribe(Holder holder, ClientMessage.Subscribe request, ConfigurationSnapshot configuration,
			ActorRef<ClientMessage> session) {
		this.subscribers.put(session,
				new FeedConfirmation(holder.host(), request.dataCentre(), request.appliedIndex()));
		if (request.appliedIndex() < configuration.index()) {
			session.tell(new ClientMessage.FeedSnapshot(configuration));
		}
	}

	void acknowledge(ActorRef<ClientMessage> session, long appliedIndex) {
		this.subscribers.computeIfPresent(session, (key, known) -> new FeedConfirmation(known.host(),
				known.dataCentre(), Math.max(known.appliedIndex(), appliedIndex)));
	}

	void remove(ActorRef<ClientMessage> session) {
		this.subscribers.remove(session);
	}

	void publish(ClientMessage message) {
		this.subscribers.keySet().forEach((session) -> session.tell(message));
	}

}
