package io.burdockpin.core.batch.call;

import java.util.HashMap;
import java.util.Map;

import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.state.BatchState;

/**
 * Announcements that change nothing, which a member that does not lead acknowledges
 * itself. Hundreds of runners announce themselves each second or two, and the leader of a
 * small host has no time for what it knows. Mutable; owned by one actor.
 */
public final class AnnouncementThrottle {

	/**
	 * A leader forgets a silent runner that has not announced itself for a minute, so it
	 * hears of each several times in that time.
	 */
	private static final int FORWARD_INTERVAL_MILLIS = 15_000;

	private final Map<RunnerKey, Long> forwardedMillis = new HashMap<>();

	/**
	 * Decides whether to acknowledge an announcement.
	 * @param call the announcement
	 * @param state the state of this member, which may lag behind
	 * @param nowMillis the time of a monotonic clock
	 * @return whether the state contains what the runner says and the leader has heard of
	 * the runner lately; otherwise it counts as passed on
	 */
	public boolean mayAcknowledge(FleetCall.Announce call, BatchState state, long nowMillis) {
		RunnerKey key = call.runner().key();
		boolean isKnown = state.runner(key.id()).filter(call.runner()::equals).isPresent();
		Long passedOn = this.forwardedMillis.get(key);
		if (isKnown && passedOn != null && nowMillis - passedOn < FORWARD_INTERVAL_MILLIS) {
			return true;
		}
		this.forwardedMillis.values().removeIf((millis) -> nowMillis - millis >= FORWARD_INTERVAL_MILLIS);
		this.forwardedMillis.put(key, nowMillis);
		return false;
	}

}
