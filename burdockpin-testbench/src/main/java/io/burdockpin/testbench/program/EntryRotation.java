package io.burdockpin.testbench.program;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides which entry host an upstream or worker announces itself to. It stays with one
 * entry host as long as that host answers and moves on when it has been silent for too
 * long or names another. Mutable; owned by one actor.
 */
public final class EntryRotation {

	private final List<EndPoint> entries;

	private final long silenceMillis;

	private int position;

	private long epoch;

	private long answeredMillis;

	/**
	 * Creates a rotation that starts with the first entry host.
	 * @param entries the known entry hosts, at least one
	 * @param silenceMillis how long the current one may be silent
	 * @param nowMillis the time now; also the first epoch, so that a restarted process
	 * never announces an older epoch than before
	 */
	public EntryRotation(List<EndPoint> entries, long silenceMillis, long nowMillis) {
		this.entries = new ArrayList<>(entries);
		this.silenceMillis = silenceMillis;
		this.epoch = nowMillis;
		this.answeredMillis = nowMillis;
	}

	// access

	/**
	 * Returns the entry host to announce to.
	 * @return its address
	 */
	public EndPoint current() {
		return this.entries.get(this.position);
	}

	/**
	 * Returns the epoch of the attachment, which grows with each change of entry host.
	 * @return the epoch
	 */
	public long epoch() {
		return this.epoch;
	}

	/**
	 * Records an answer of the current entry host.
	 * @param nowMillis the time now
	 */
	public void onAnswer(long nowMillis) {
		this.answeredMillis = nowMillis;
	}

	/**
	 * Moves to the entry host that the current one named.
	 * @param target the named entry host
	 * @param nowMillis the time now
	 */
	public void onAttachTo(EndPoint target, long nowMillis) {
		if (target.equals(current())) {
			return;
		}
		if (!this.entries.contains(target)) {
			this.entries.add(target);
		}
		moveTo(this.entries.indexOf(target), nowMillis);
	}

	/**
	 * Moves to the next entry host if the current one has been silent for too long.
	 * @param nowMillis the time now
	 */
	public void onTick(long nowMillis) {
		if (nowMillis - this.answeredMillis > this.silenceMillis) {
			moveTo((this.position + 1) % this.entries.size(), nowMillis);
		}
	}

	// helpers

	private void moveTo(int newPosition, long nowMillis) {
		this.position = newPosition;
		this.epoch++;
		this.answeredMillis = nowMillis;
	}

}
