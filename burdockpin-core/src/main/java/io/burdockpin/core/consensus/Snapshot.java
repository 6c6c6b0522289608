package io.burdockpin.core.consensus;

import io.burdockpin.core.model.Payload;

/**
 * State of the state machine at one log index.
 *
 * @param index the last log index that is included, 0 for the initial state
 * @param term the term of the entry at that index
 * @param membershipIndex index of the newest membership entry that is included
 * @param membership the membership at that index
 * @param state the encoded state machine
 */
public record Snapshot(long index, long term, long membershipIndex, Membership membership, Payload state) {

	/**
	 * Returns the initial snapshot of a newly formatted data folder.
	 * @param membership the initial membership
	 * @return a snapshot with index 0 and an empty state
	 */
	public static Snapshot initial(Membership membership) {
		return new Snapshot(0, 0, 0, membership, Payload.EMPTY);
	}

}
