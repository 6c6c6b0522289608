package io.burdockpin.entry.router;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.routing.RunnerAttachment;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * How many idle connections may be kept to each runner; none to a runner that was sent to
 * another entry host. Mutable; owned by the router.
 */
final class IdleLimits {

	private final ActorRef<RunnerConnections.Command> connections;

	private final Set<RunnerName> redirected = new HashSet<>();

	private Map<RunnerAttachment, Integer> limits = Map.of();

	IdleLimits(ActorRef<RunnerConnections.Command> connections) {
		this.connections = connections;
	}

	void attached(RunnerName runner, boolean isRedirected) {
		if (isRedirected) {
			this.redirected.add(runner);
		}
		else {
			this.redirected.remove(runner);
		}
	}

	void removed(RunnerName runner) {
		this.redirected.remove(runner);
	}

	void update(Map<RunnerAttachment, Integer> byRunner) {
		Map<RunnerAttachment, Integer> changed = new HashMap<>(byRunner);
		changed.keySet().removeIf((life) -> this.redirected.contains(life.runner()));
		if (!changed.equals(this.limits)) {
			this.limits = changed;
			this.connections.tell(new RunnerConnections.LimitIdle(changed));
		}
	}

}
