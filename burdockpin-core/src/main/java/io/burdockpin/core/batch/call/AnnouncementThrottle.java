package io.burdockpin.core.batch.call;

import java.util.HashMap;
import java.util.Map;

import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.state.BatchState;

/**
 * Decides which runner announcements a follower forwards to the leader. Hundreds of
 * runners announce themselves every one or two seconds. So that this does not overload a
 * leader on a small host, a follower acknowledges announcements without changes itself
 * and forwards them only from time to time. Mutable; owned by one actor.
 */
public final class AnnouncementThrottle {

	/**
	 * The leader removes a runner that is out of contact and has not been announced for a
	 * minute, so each runner is forwarded several times within a minute.
	 */
	private static final int FORWARD_INTERVAL_MILLIS = 15_000;

	private final Map<RunnerKey, Long> forwardedMillis = new HashMap<>();

	/**
	 * Decides whether to acknowledge an announcement locally. An announcement that is not
	 * acknowledged counts as forwarded.
	 * @param call the announcement as received from the runner
	 * @param state the replicated state of this member, which may lag behind the leader
	 * @param nowMillis the time of a monotonic clock
	 * @return whether the state contains the announced attributes and an announcement of
	 * the runner was forwarded recently
	 */
	public boolean mayAcknowledge(FleetCall.Announce call, BatchState state, long nowMillis) {
		RunnerKey key = call.runner().key();
		boolean isKnown = state.runner(key.id()).filter(call.runner()::equals).isPresent();
		Long lastForwarded = this.forwardedMillis.get(key);
		if (isKnown && lastForwarded != null && nowMillis - lastForwarded < FORWARD_INTERVAL_MILLIS) {
			return true;
		}
		this.forwardedMillis.values().removeIf((millis) -> nowMillis - millis >= FORWARD_INTERVAL_MILLIS);
		this.forwardedMillis.put(key, nowMillis);
		return false;
	}

}
