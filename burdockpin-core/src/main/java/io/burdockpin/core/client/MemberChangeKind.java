package io.burdockpin.core.client;

/** Kind of a membership change of the control group. */
public enum MemberChangeKind {

	/** Adds a member, as a learner until it has caught up. */
	ADD,

	/** Replaces the member on a host that lost its disk by a new incarnation. */
	REPLACE,

	/** Removes a member. */
	REMOVE

}
