package io.burdockpin.core.batch.lead.host;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.batch.state.BatchCommand;

/**
 * Records when this member applied the last committed change of an order about each host,
 * by its own monotonic clock. Kept across terms, so that a new leader knows the orders of
 * its predecessors without comparing the clocks of two hosts. Not thread-safe; owned by
 * the member.
 */
public final class HostOrderHistory {

	private final Map<String, Change> changes = new HashMap<>();

	/** Changes that are not recorded were applied before this time. */
	private long knownSinceMillis;

	/**
	 * Creates an empty history.
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public HostOrderHistory(long nowMillis) {
		this.knownSinceMillis = nowMillis;
	}

	/**
	 * Records a command that was applied to the replicated state.
	 * @param command applied command; ignored unless it is about an order for a host
	 * @param term term of its log entry
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void onApplied(BatchCommand command, long term, long nowMillis) {
		if (command instanceof BatchCommand.SetUpkeep maintenance) {
			this.changes.put(maintenance.host(), new Change(term, nowMillis));
		}
		else if (command instanceof BatchCommand.SetMove move) {
			this.changes.put(move.host(), new Change(term, nowMillis));
		}
	}

	/**
	 * Forgets all changes, because the replicated state was replaced by a snapshot.
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public void onRestored(long nowMillis) {
		this.changes.clear();
		this.knownSinceMillis = nowMillis;
	}

	/**
	 * Returns the last change of an order about a host.
	 * @param host name of the host
	 * @return the change, or empty if none was applied since the start of this member or
	 * since the last snapshot
	 */
	public Optional<Change> lastChange(String host) {
		return Optional.ofNullable(this.changes.get(host));
	}

	/**
	 * Returns for how long no order about a host has changed.
	 * @param host name of the host
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return a lower bound of the time since the last change, in milliseconds
	 */
	public long quietMillis(String host, long nowMillis) {
		return nowMillis - lastChange(host).map(Change::appliedMillis).orElse(this.knownSinceMillis);
	}

	/**
	 * The last change of an order about a host.
	 *
	 * @param term term of the leader that proposed the change
	 * @param appliedMillis monotonic time at which this member applied it, in
	 * milliseconds
	 */
	public record Change(long term, long appliedMillis) {

	}

}
