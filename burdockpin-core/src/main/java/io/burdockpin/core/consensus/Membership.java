package io.burdockpin.core.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import io.burdockpin.core.model.HostName;

/**
 * The members of the control group at one log index. Immutable.
 *
 * @param members the members, one a host
 */
public record Membership(List<Member> members) {

	/** No members; the membership of a data folder that was not formatted. */
	public static final Membership EMPTY = new Membership(List.of());

	public Membership {
		members = List.copyOf(members);
	}

	// access

	/**
	 * Returns the members that count for majorities.
	 * @return the voters
	 */
	public List<Member> voters() {
		return this.members.stream().filter((member) -> member.role().countsForMajority()).toList();
	}

	/**
	 * Finds the member on a host.
	 * @param host the host
	 * @return the member of any incarnation
	 */
	public Optional<Member> find(HostName host) {
		return this.members.stream().filter((member) -> member.id().host().equals(host)).findFirst();
	}

	/**
	 * Finds a member by host and incarnation.
	 * @param id the identity
	 * @return the member
	 */
	public Optional<Member> find(MemberId id) {
		return this.members.stream().filter((member) -> member.id().equals(id)).findFirst();
	}

	/**
	 * Tells whether a member votes.
	 * @param id the identity
	 * @return whether it is a voter of this membership
	 */
	public boolean isVoter(MemberId id) {
		return find(id).filter((member) -> member.role().countsForMajority()).isPresent();
	}

	/**
	 * Tells whether the voters that satisfy a condition are a majority.
	 * @param condition the condition
	 * @return {@code true} if more than half of the voters satisfy it
	 */
	public boolean isMajority(Predicate<MemberId> condition) {
		List<Member> voters = voters();
		long count = voters.stream().filter((voter) -> condition.test(voter.id())).count();
		return count > voters.size() / 2;
	}

	/**
	 * Returns the largest value that a majority of the voters has reached.
	 * @param value the value of each voter
	 * @return the value, or {@link Long#MIN_VALUE} without voters
	 */
	public long majorityValue(ToLongFunction<MemberId> value) {
		List<Long> values = new ArrayList<>();
		voters().forEach((voter) -> values.add(value.applyAsLong(voter.id())));
		values.sort(Comparator.reverseOrder());
		return values.isEmpty() ? Long.MIN_VALUE : values.get(values.size() / 2);
	}

	// changes

	/**
	 * Returns a copy in which the member on a host is replaced or added.
	 * @param member the new member
	 * @return the copy
	 */
	public Membership with(Member member) {
		List<Member> changed = new ArrayList<>(without(member.id().host()).members());
		changed.add(member);
		return new Membership(changed);
	}

	/**
	 * Returns a copy without the member on a host.
	 * @param host the host
	 * @return the copy
	 */
	public Membership without(HostName host) {
		return new Membership(this.members.stream().filter((member) -> !member.id().host().equals(host)).toList());
	}

}
