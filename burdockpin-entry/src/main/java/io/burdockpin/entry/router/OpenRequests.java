package io.burdockpin.entry.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.retry.FinalResponse;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Index of the requests in progress, by request identifier and by the attempt of the
 * entry host that forwarded the request. Mutable; owned by the router.
 */
final class OpenRequests {

	private final Map<Long, Keys> keysByNumber = new HashMap<>();

	private final Map<RequestKey, Running> runningByKey = new HashMap<>();

	private final Map<ActorRef<FinalResponse>, ActorRef<RequestActor.Message>> actorsByCaller = new HashMap<>();

	private final Map<Long, List<ActorRef<FinalResponse>>> callersByNumber = new HashMap<>();

	private final Set<Long> abandoned = new HashSet<>();

	private final Map<ForwardKey, Long> numbersByForward = new HashMap<>();

	private final List<ActorRef<Done>> idleWaiters = new ArrayList<>();

	// life cycle

	void addRepeatable(long number) {
		this.keysByNumber.put(number, new Keys(Optional.empty(), Optional.empty()));
	}

	void addNonRepeatable(long number, RequestKey key, ActorRef<RequestActor.Message> actor) {
		this.runningByKey.put(key, new Running(number, actor));
		this.keysByNumber.put(number, new Keys(Optional.of(key), Optional.empty()));
	}

	void addCaller(Running running, ActorRef<FinalResponse> caller) {
		this.actorsByCaller.put(caller, running.actor());
		this.callersByNumber.computeIfAbsent(running.number(), (number) -> new ArrayList<>(1)).add(caller);
	}

	void abandon(long number) {
		if (this.keysByNumber.containsKey(number)) {
			this.abandoned.add(number);
		}
	}

	void addForwarded(long number, ForwardKey key) {
		this.numbersByForward.put(key, number);
		this.keysByNumber.put(number, new Keys(Optional.empty(), Optional.of(key)));
	}

	// Returns the actor that resends could join until now.
	Optional<ActorRef<RequestActor.Message>> end(long number) {
		Optional<Keys> keys = Optional.ofNullable(this.keysByNumber.remove(number));
		Optional<Running> running = keys.flatMap(Keys::request).map(this.runningByKey::remove);
		keys.flatMap(Keys::forward).ifPresent(this.numbersByForward::remove);
		Optional.ofNullable(this.callersByNumber.remove(number))
			.ifPresent((callers) -> callers.forEach(this.actorsByCaller::remove));
		this.abandoned.remove(number);
		notifyIfIdle();
		return running.map(Running::actor);
	}

	void awaitIdle(ActorRef<Done> waiter) {
		this.idleWaiters.add(waiter);
		notifyIfIdle();
	}

	// access

	Optional<Running> running(RequestKey key) {
		return Optional.ofNullable(this.runningByKey.get(key));
	}

	Optional<ActorRef<RequestActor.Message>> actorOf(ActorRef<FinalResponse> caller) {
		return Optional.ofNullable(this.actorsByCaller.get(caller));
	}

	boolean isAbandoned(long number) {
		return this.abandoned.contains(number);
	}

	Optional<Long> forwarded(ForwardKey key) {
		return Optional.ofNullable(this.numbersByForward.get(key));
	}

	int count() {
		return this.keysByNumber.size();
	}

	// helpers

	private void notifyIfIdle() {
		if (this.keysByNumber.isEmpty()) {
			this.idleWaiters.forEach((waiter) -> waiter.tell(Done.getInstance()));
			this.idleWaiters.clear();
		}
	}

	record RequestKey(Optional<TeamName> team, RequestId requestId) {

	}

	record Running(long number, ActorRef<RequestActor.Message> actor) {

	}

	record ForwardKey(Holder sender, long attempt) {

	}

	private record Keys(Optional<RequestKey> request, Optional<ForwardKey> forward) {

	}

}
