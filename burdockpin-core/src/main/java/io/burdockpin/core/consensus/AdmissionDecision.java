package io.burdockpin.core.consensus;

import java.util.Optional;

/** What a leader does about a host that asks to join the group. */
public enum AdmissionDecision {

	/** The host is already a member with this incarnation. */
	ALREADY_MEMBER,

	/** The host belongs to the group, but its member has lost its data folder. */
	REPLACE_LOST_DISK {
		@Override
		public Optional<MembershipChange> change() {
			return Optional.of(MembershipChange.REPLACE);
		}
	},

	/** The group has fewer voters than intended. */
	FILL_GROUP {
		@Override
		public Optional<MembershipChange> change() {
			return Optional.of(MembershipChange.ADD);
		}
	},

	/** A voter is silent. The host becomes a voter before that one is removed. */
	SUCCEED_SILENT_VOTER {
		@Override
		public Optional<MembershipChange> change() {
			return Optional.of(MembershipChange.ADD);
		}
	},

	/** Another host is joining. Only one joins at a time. */
	WAIT_FOR_OTHER_CANDIDATE,

	/** The group has all voters, and the leader is in contact with each of them. */
	WAIT_GROUP_COMPLETE,

	/**
	 * A voter is silent, but as a voter the host would put so many into one data centre
	 * that the loss of that data centre would stop the group. The silent voter may still
	 * come back.
	 */
	WAIT_DATA_CENTRE_CROWDED;

	/**
	 * Returns the membership change to propose for the host.
	 * @return the change, empty if the host has to wait or already belongs to the group
	 */
	public Optional<MembershipChange> change() {
		return Optional.empty();
	}

}
