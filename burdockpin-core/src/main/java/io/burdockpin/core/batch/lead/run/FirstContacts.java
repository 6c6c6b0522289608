package io.burdockpin.core.batch.lead.run;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.burdockpin.core.batch.lead.host.TokenBucket;
import io.burdockpin.core.batch.model.RunnerKey;

/**
 * Limits the rate at which a leader contacts runners for the first time and the number of
 * first contacts that are pending. Load: a new leader of a fleet with hundreds of
 * runners. Not thread-safe; owned by the leader.
 */
public final class FirstContacts {

	/**
	 * Opening connections to hundreds of runners at once takes longer than an election
	 * timeout on a small host, so that the other members would elect another leader. At
	 * this rate hundreds of runners are contacted well within their leases.
	 */
	private static final double FIRST_CONTACTS_PER_MILLISECOND = 0.12;

	private static final double FIRST_CONTACT_BURST = 8;

	/**
	 * Bounds the pending first contacts on a host that is too slow for the rate above.
	 * With more of them, a busy host would time out on all before it had handled their
	 * responses.
	 */
	private static final int MAXIMUM_PENDING_FIRST_CONTACTS = 8;

	/**
	 * Runners that did not answer are most likely gone and must not delay the others. If
	 * this host was too slow to handle eight responses at a time, it retries two at a
	 * time.
	 */
	private static final int MAXIMUM_PENDING_REPEATED_CONTACTS = 2;

	private final TokenBucket tokens = new TokenBucket(FIRST_CONTACTS_PER_MILLISECOND, FIRST_CONTACT_BURST);

	/** Runners with a pending first heartbeat. */
	private final Set<RunnerKey> pending = new HashSet<>();

	/** Runners with a pending heartbeat after earlier ones timed out. */
	private final Set<RunnerKey> pendingRepeated = new HashSet<>();

	/**
	 * Adds the tokens of the time since the last call.
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void refill(long nowMillis) {
		this.tokens.refill(nowMillis);
	}

	/**
	 * Returns the next heartbeat of a session and marks it as sent.
	 * @param session session with a runner
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return heartbeat to send, or empty if none is due or it would be one first contact
	 * too many
	 */
	public Optional<RunnerOrder.Heartbeat> nextHeartbeat(RunnerSession session, long nowMillis) {
		if (session.hasBeenContacted()) {
			return session.nextHeartbeat(nowMillis);
		}
		boolean isRepeated = session.isUnanswered();
		Set<RunnerKey> open = isRepeated ? this.pendingRepeated : this.pending;
		int maximumOpen = isRepeated ? MAXIMUM_PENDING_REPEATED_CONTACTS : MAXIMUM_PENDING_FIRST_CONTACTS;
		boolean mayAsk = this.tokens.hasToken() && open.size() < maximumOpen;
		Optional<RunnerOrder.Heartbeat> order = mayAsk ? session.nextHeartbeat(nowMillis) : Optional.empty();
		order.ifPresent((first) -> {
			this.tokens.take();
			open.add(session.runner().key());
		});
		return order;
	}

	/**
	 * Handles the reply to a heartbeat, or its timeout.
	 * @param runner incarnation of the runner
	 */
	public void onReply(RunnerKey runner) {
		this.pending.remove(runner);
		this.pendingRepeated.remove(runner);
	}

	/**
	 * Forgets the contacts with other runners.
	 * @param known incarnations that are registered
	 */
	public void retainAll(Collection<RunnerKey> known) {
		this.pending.retainAll(known);
		this.pendingRepeated.retainAll(known);
	}

}
