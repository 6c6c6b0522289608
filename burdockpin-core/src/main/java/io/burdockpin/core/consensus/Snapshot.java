package io.burdockpin.core.consensus;

import io.burdockpin.core.model.Payload;

/**
 * The state machine after one log index.
 *
 * @param index the last index in it, 0 if it is the initial state
 * @param term the term of that entry
 * @param membershipIndex index of the entry that set the members
 * @param membership the members at that index
 * @param state the encoded state machine
 */
public record Snapshot(long index, long term, long membershipIndex, Membership membership, Payload state) {

	/**
	 * Returns the initial state of a formatted data folder.
	 * @param membership the first members
	 * @return the snapshot
	 */
	public static Snapshot initial(Membership membership) {
		return new Snapshot(0, 0, 0, membership, Payload.EMPTY);
	}

}
