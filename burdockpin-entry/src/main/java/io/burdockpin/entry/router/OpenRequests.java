package io.burdockpin.entry.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Requests that have not ended, found by their identifier or by the attempt that another
 * entry host asked for. Mutable; owned by the router.
 */
final class OpenRequests {

	private final Map<Long, Keys> keysByNumber = new HashMap<>();

	private final Map<RequestKey, ActorRef<RequestActor.Message>> actorsByKey = new HashMap<>();

	private final Map<ForwardKey, Long> numbersByForward = new HashMap<>();

	private final List<ActorRef<Done>> idleWaiters = new ArrayList<>();

	// life cycle

	void addRepeatable(long number) {
		this.keysByNumber.put(number, new Keys(Optional.empty(), Optional.empty()));
	}

	void addOnce(long number, RequestKey key, ActorRef<RequestActor.Message> actor) {
		this.actorsByKey.put(key, actor);
		this.keysByNumber.put(number, new Keys(Optional.of(key), Optional.empty()));
	}

	void addForwarded(long number, ForwardKey key) {
		this.numbersByForward.put(key, number);
		this.keysByNumber.put(number, new Keys(Optional.empty(), Optional.of(key)));
	}

	void end(long number) {
		Optional.ofNullable(this.keysByNumber.remove(number)).ifPresent((keys) -> {
			keys.request().ifPresent(this.actorsByKey::remove);
			keys.forward().ifPresent(this.numbersByForward::remove);
		});
		tellIdle();
	}

	void awaitIdle(ActorRef<Done> waiter) {
		this.idleWaiters.add(waiter);
		tellIdle();
	}

	// access

	Optional<ActorRef<RequestActor.Message>> running(RequestKey key) {
		return Optional.ofNullable(this.actorsByKey.get(key));
	}

	Optional<Long> forwarded(ForwardKey key) {
		return Optional.ofNullable(this.numbersByForward.get(key));
	}

	int count() {
		return this.keysByNumber.size();
	}

	// helpers

	private void tellIdle() {
		if (this.keysByNumber.isEmpty()) {
			this.idleWaiters.forEach((waiter) -> waiter.tell(Done.getInstance()));
			this.idleWaiters.clear();
		}
	}

	record RequestKey(Optional<TeamName> team, RequestId requestId) {

	}

	record ForwardKey(Holder sender, long attempt) {

	}

	private record Keys(Optional<RequestKey> request, Optional<ForwardKey> forward) {

	}

}
