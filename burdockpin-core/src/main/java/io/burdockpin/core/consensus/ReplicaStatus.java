package io.burdockpin.core.consensus;

import java.util.Optional;

/**
 * Where a replica stands. Immutable.
 *
 * @param self its identity
 * @param role its role
 * @param term its term
 * @param leader the leader it follows
 * @param commitIndex the last committed index it knows
 * @param lastIndex the last index in its log
 * @param membershipIndex index of the newest membership
 * @param membership the newest membership in its log
 */
public record ReplicaStatus(MemberId self, Role role, long term, Optional<MemberId> leader, long commitIndex,
		long lastIndex, long membershipIndex, Membership membership) {

}
