package io.burdockpin.entry.control;

import io.burdockpin.core.admission.ConfigurationView;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.Behaviors;

/**
 * Loads the cached configuration at the start and saves each new one. Must run on the
 * dispatcher for blocking calls.
 */
final class CacheActor {

	private CacheActor() {
	}

	static Behavior<ConfigurationView> create(ConfigurationCache cache, ActorRef<ControlCommand> control) {
		return Behaviors.setup((context) -> {
			cache.load()
				.ifPresent((configuration) -> control.tell(new ControlCommand.OfferConfiguration(configuration)));
			return Behaviors.receiveMessage((configuration) -> {
				cache.save(configuration);
				return Behaviors.same();
			});
		});
	}

}
