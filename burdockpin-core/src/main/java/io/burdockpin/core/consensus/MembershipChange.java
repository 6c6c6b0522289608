package io.burdockpin.core.consensus;

import java.util.Optional;

/** Changes of the membership that an operator can ask for. */
public enum MembershipChange {

	/** Adds a member on a new host. */
	ADD {
		@Override
		Optional<Membership> applyTo(Membership membership, Member member) {
			boolean hostIsFree = membership.find(member.id().host()).isEmpty();
			return hostIsFree ? Optional.of(membership.with(member)) : Optional.empty();
		}

		@Override
		boolean isDone(Membership membership, MemberId id) {
			return membership.find(id).isPresent();
		}
	},

	/** Puts a new data folder in place of the one that a host has lost. */
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
	 * @param membership the present members
	 * @param member the member it is about, as a learner
	 * @return the new members, or nothing if the change does not fit
	 */
	abstract Optional<Membership> applyTo(Membership membership, Member member);

	/**
	 * Tells whether the change was made before.
	 * @param membership the present members
	 * @param id the member it is about
	 * @return {@code true} for a resend
	 */
	abstract boolean isDone(Membership membership, MemberId id);

}
