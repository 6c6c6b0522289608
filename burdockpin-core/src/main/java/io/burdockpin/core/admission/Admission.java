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
 * Checks requests in the order size, queue, key, deadline, queue length. Withdrawn keys
 * form a set that only grows, whatever the configuration says. Mutable; owned by one
 * actor.
 */
public final class Admission {

	private final AdmissionLimits limits;

	private final Set<KeyHash> withdrawnKeys = new HashSet<>();

	private ConfigurationView configuration = ConfigurationView.EMPTY;

	private boolean configured;

	private long lastMajorityContactMillis;

	/**
	 * Creates the checks.
	 * @param limits the limits
	 * @param nowMillis the current time; the grace for known keys counts from here until
	 * a control majority is heard of
	 */
	public Admission(AdmissionLimits limits, long nowMillis) {
		this.limits = limits;
		this.lastMajorityContactMillis = nowMillis;
	}

	// configuration

	/**
	 * Puts a configuration in force, unless a newer one is.
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
	 * Withdraws keys at once.
	 * @param keyHashes hashes of the keys
	 */
	public void withdraw(Collection<KeyHash> keyHashes) {
		this.withdrawnKeys.addAll(keyHashes);
	}

	/**
	 * Takes note that a control member reached a majority.
	 * @param nowMillis when that was
	 */
	public void onMajorityContact(long nowMillis) {
		this.lastMajorityContactMillis = Math.max(this.lastMajorityContactMillis, nowMillis);
	}

	// access

	/**
	 * Checks a request.
	 * @param request the request
	 * @param queueFull tells whether its queue is full
	 * @param nowMillis the current time
	 * @return whether it may be queued
	 */
	public AdmissionResult check(AdmissionRequest request, Supplier<Boolean> queueFull, long nowMillis) {
		if (request.bodyBytes() > this.limits.maximumBodyBytes()) {
			return refuse(ErrorCode.BODY_TOO_LARGE, "the body has %d bytes, allowed are %d"
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
	 * @return the team with its weight, or the refusal
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
	 * Returns the share of a team.
	 * @param team the team
	 * @return its weight, 1 if the team is not known
	 */
	public int weightOf(Optional<TeamName> team) {
		return team.flatMap(this.configuration::team).map((found) -> found.spec().shareWeight()).orElse(1);
	}

	/**
	 * Tells whether any configuration is in force. That of a new cluster is empty.
	 * @return whether requests can be checked
	 */
	public boolean isConfigured() {
		return this.configured;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration
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
			return refuse(ErrorCode.BAD_REQUEST, "the timeout is %d ms, allowed is 0 to %d ms"
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
