package io.burdockpin.entry.router;

import io.burdockpin.core.model.TeamName;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.cfg.LimitSettings;
import io.burdockpin.entry.control.ControlCommand;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * What the actor of a request works with.
 *
 * @param caller the request
 * @param identity the own process
 * @param limits limits on requests
 * @param proposalMillis how long a proposal may take
 * @param router gives slots
 * @param control proposes claims
 */
record RequestContext(CallerRequest caller, EntryIdentity identity, LimitSettings limits, long proposalMillis,
		ActorRef<RouterCommand> router, ActorRef<ControlCommand> control) {

	/** Reserved team under which claims of requests without a team are kept. */
	static final TeamName OPEN_QUEUE_TEAM = new TeamName("open:queue");

}
