package io.burdockpin.core.admission;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.state.KeyRecord;
import io.burdockpin.core.state.QueueRecord;

/**
 * Checks body size, queue, key, timeout, identifier and queue length of a request, in
 * this order. Withdrawn keys form a set that only grows, even if a later configuration
 * still contains them as valid. Mutable, owned by one actor.
 */
public final class Admission {

	private final AdmissionLimits limits;

	private final Set<KeyHash> withdrawnKeys = new HashSet<>();

	private ConfigurationView configuration = ConfigurationView.EMPTY;

	private boolean configured;

	private long lastMajorityContactMillis;

	/**
	 * Creates the checks without a configuration.
	 * @param limits limits that requests are checked against
	 * @param nowMillis the current time, from which the grace period of known keys counts
	 * until the first contact with a control majority
	 */
	public Admission(AdmissionLimits limits, long nowMillis) {
		this.limits = limits;
		this.lastMajorityContactMillis = nowMillis;
	}

	// configuration

	/**
	 * Activates a configuration, unless the active one is as new or newer.
	 * @param newer the configuration
	 */
	public void configure(ConfigurationView newer) {
		this.configured = true;
		if (newer.index() > this.configuration.index()) {
			this.configuration = newer;
			this.withdrawnKeys.addAll(newer.withdrawnKeys());
		}
	}

	/**
	 * Withdraws keys immediately, before the configuration contains the change.
	 * @param keyHashes hashes of the keys
	 */
	public void withdraw(Collection<KeyHash> keyHashes) {
		this.withdrawnKeys.addAll(keyHashes);
	}

	/**
	 * Handles contact with a control member that reaches a majority.
	 * @param nowMillis the time of the contact
	 */
	public void onMajorityContact(long nowMillis) {
		this.lastMajorityContactMillis = Math.max(this.lastMajorityContactMillis, nowMillis);
	}

	// access

	/**
	 * Checks a request.
	 * @param request the request
	 * @param queueFull tells whether the queue of the request is full; called last
	 * @param nowMillis the current time
	 * @return the team, weight and deadline of the request, or the refusal
	 */
	public AdmissionResult check(AdmissionRequest request, Supplier<Boolean> queueFull, long nowMillis) {
		if (request.bodyBytes() > this.limits.maximumBodyBytes()) {
			return refuse(ErrorCode.BODY_TOO_LARGE, "the body has %d bytes, but at most %d are allowed"
				.formatted(request.bodyBytes(), this.limits.maximumBodyBytes()));
		}
		if (!this.configured) {
			return refuse(ErrorCode.NO_MAJORITY, "this entry host has no configuration yet");
		}
		Optional<QueueRecord> queue = this.configuration.queue(request.queue());
		if (queue.isEmpty()) {
			return refuse(ErrorCode.UNKNOWN_QUEUE, "queue \"%s\" does not exist".formatted(request.queue()));
		}
		if (queue.get().open() && request.keyHash().isEmpty()) {
			return checkLimits(request, Optional.empty(), 1, queueFull, nowMillis);
		}
		AdmissionResult key = checkKey(request.keyHash(), nowMillis);
		if (key instanceof AdmissionResult.Admitted admitted) {
			return checkLimits(request, admitted.team(), admitted.weight(), queueFull, nowMillis);
		}
		return key;
	}

	/**
	 * Checks a key.
	 * @param keyHash hash of the key that came with the request
	 * @param nowMillis the current time
	 * @return the team and its weight without a deadline, or the refusal
	 */
	public AdmissionResult checkKey(Optional<KeyHash> keyHash, long nowMillis) {
		if (keyHash.isEmpty()) {
			return refuse(ErrorCode.KEY_MISSING, "the header Burdock-Key is missing");
		}
		if (this.withdrawnKeys.contains(keyHash.get())) {
			return refuse(ErrorCode.KEY_WITHDRAWN, "the key has been withdrawn");
		}
		if (nowMillis - this.lastMajorityContactMillis >= this.limits.unverifiedKeyGraceMillis()) {
			return refuse(ErrorCode.KEY_UNVERIFIED, "no control majority can confirm the key");
		}
		Optional<KeyRecord> key = this.configuration.key(keyHash.get());
		if (key.isEmpty()) {
			return refuse(ErrorCode.KEY_UNKNOWN, "the key is not known");
		}
		return checkTeam(key.get().team());
	}

	/**
	 * Returns the weight of a team in the queues.
	 * @param team the team, empty for requests without a key
	 * @return its weight, 1 if the team is empty or not known
	 */
	public int weightOf(Optional<TeamName> team) {
		return team.flatMap(this.configuration::team).map((found) -> found.spec().shareWeight()).orElse(1);
	}

	/**
	 * Tells whether a configuration is active. The configuration of a new cluster is
	 * empty, but active.
	 * @return {@code false} if every request is refused for lack of a configuration
	 */
	public boolean isConfigured() {
		return this.configured;
	}

	/**
	 * Returns the active configuration.
	 * @return the configuration, empty if none is active
	 */
	public ConfigurationView configuration() {
		return this.configuration;
	}

	// helpers

	private AdmissionResult checkTeam(TeamName team) {
		if (this.configuration.team(team).isEmpty()) {
			return refuse(ErrorCode.UNKNOWN_TEAM, "team \"%s\" does not exist".formatted(team));
		}
		return new AdmissionResult.Admitted(Optional.of(team), weightOf(Optional.of(team)), Long.MAX_VALUE);
	}

	private AdmissionResult checkLimits(AdmissionRequest request, Optional<TeamName> team, int weight,
			Supplier<Boolean> queueFull, long nowMillis) {
		if (request.timeoutMillis() < 0 || request.timeoutMillis() > this.limits.maximumTimeoutMillis()) {
			return refuse(ErrorCode.BAD_REQUEST, "the timeout is %d ms, but it must be between 0 and %d ms"
				.formatted(request.timeoutMillis(), this.limits.maximumTimeoutMillis()));
		}
		if (request.timeoutMillis() == 0) {
			return refuse(ErrorCode.DEADLINE_EXCEEDED_BEFORE_START, "the deadline has passed");
		}
		if (!request.repeatable() && !hasRequestIdInWindow(request, nowMillis)) {
			return refuse(ErrorCode.REQUEST_ID_REJECTED,
					"a request that is not repeatable needs an identifier <unix seconds>-<token> within the window");
		}
		if (queueFull.get()) {
			return refuse(ErrorCode.QUEUE_FULL, "queue \"%s\" is full".formatted(request.queue()));
		}
		return new AdmissionResult.Admitted(team, weight, nowMillis + request.timeoutMillis());
	}

	private boolean hasRequestIdInWindow(AdmissionRequest request, long nowMillis) {
		return request.requestId()
			.filter((requestId) -> this.limits.requestIdWindow().contains(requestId, nowMillis))
			.isPresent();
	}

	private static AdmissionResult refuse(ErrorCode code, String message) {
		return new AdmissionResult.Refused(code, message);
	}

}
