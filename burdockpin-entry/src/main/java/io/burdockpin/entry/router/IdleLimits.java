package io.burdockpin.entry.router;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.routing.RunnerAttachment;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Tracks how many idle connections may be kept to each runner and reports changes. None
 * are kept to a runner that was redirected to another entry host. Mutable; owned by the
 * router.
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
		changed.keySet().removeIf((attachment) -> this.redirected.contains(attachment.runner()));
		if (!changed.equals(this.limits)) {
			this.limits = changed;
			this.connections.tell(new RunnerConnections.LimitIdle(changed));
		}
	}

}
