package io.burdockpin.entry.router;

import io.burdockpin.core.model.TeamName;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.cfg.LimitSettings;
import io.burdockpin.entry.control.ControlCommand;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * The dependencies of a {@link RequestActor}.
 *
 * @param caller the request of the caller
 * @param identity identity and clock of this entry host
 * @param limits limits on requests
 * @param proposalMillis timeout of a call to the control group
 * @param router assigns runners and peers to attempts
 * @param control proposes and queries claims
 */
record RequestContext(CallerRequest caller, EntryIdentity identity, LimitSettings limits, long proposalMillis,
		ActorRef<RouterCommand> router, ActorRef<ControlCommand> control) {

	/** Reserved team that owns the claims of requests without a team. */
	static final TeamName OPEN_QUEUE_TEAM = new TeamName("open:queue");

}
