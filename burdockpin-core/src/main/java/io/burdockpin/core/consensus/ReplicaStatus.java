package io.burdockpin.core.consensus;

import java.util.Optional;

/**
 * Current status of a replica. Immutable.
 *
 * @param self identity of the member
 * @param role current role
 * @param term current term
 * @param leader the current leader, empty if unknown
 * @param commitIndex the highest index known to be committed
 * @param lastIndex the last index in the log
 * @param membershipIndex log index of the newest membership
 * @param membership the newest membership in the log, committed or not
 */
public record ReplicaStatus(MemberId self, Role role, long term, Optional<MemberId> leader, long commitIndex,
		long lastIndex, long membershipIndex, Membership membership) {

}
