package io.burdockpin.core.consensus;

import java.util.Optional;

/** Membership changes that an operator can request. */
public enum MembershipChange {

	/** Adds a member on a new host. */
	ADD {
		@Override
		Optional<Membership> applyTo(Membership membership, Member member) {
			boolean isNewHost = membership.find(member.id().host()).isEmpty();
			return isNewHost ? Optional.of(membership.with(member)) : Optional.empty();
		}

		@Override
		boolean isDone(Membership membership, MemberId id) {
			return membership.find(id).isPresent();
		}
	},

	/** Replaces the member on a host that lost its data folder by a new incarnation. */
	REPLACE {
		@Override
		Optional<Membership> applyTo(Membership membership, Member member) {
			return membership.find(member.id().host()).map((old) -> membership.with(member));
		}

		@Override
		boolean isDone(Membership membership, MemberId id) {
			return membership.find(id).isPresent();
		}
	},

	/** Removes the member on a host. */
	REMOVE {
		@Override
		Optional<Membership> applyTo(Membership membership, Member member) {
			return Optional.of(membership.without(member.id().host()));
		}

		@Override
		boolean isDone(Membership membership, MemberId id) {
			return membership.find(id.host()).isEmpty();
		}
	};

	/**
	 * Applies the change.
	 * @param membership the current membership
	 * @param member the affected member, as a learner
	 * @return the new membership, empty if the change is not valid for the current one
	 */
	abstract Optional<Membership> applyTo(Membership membership, Member member);

	/**
	 * Tells whether the membership already reflects the change.
	 * @param membership the current membership
	 * @param id the affected member
	 * @return {@code true} if the request is a resend
	 */
	abstract boolean isDone(Membership membership, MemberId id);

}
