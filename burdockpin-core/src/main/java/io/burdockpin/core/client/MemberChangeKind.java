package io.burdockpin.core.client;

/** Kinds of changes to the members of the control group. */
public enum MemberChangeKind {

	/** Adds a member that first catches up without a vote. */
	ADD,

	/** Replaces the member on a host that lost its disk by its new incarnation. */
	REPLACE,

	/** Removes a member. */
	REMOVE

}
