package io.burdockpin.core.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;

import io.burdockpin.core.model.HostName;

/**
 * The members of the consensus group at one log index. Immutable.
 *
 * @param members the members, at most one for each host
 */
public record Membership(List<Member> members) {

	/** The empty membership of a data folder that was never formatted. */
	public static final Membership EMPTY = new Membership(List.of());

	public Membership {
		members = List.copyOf(members);
	}

	// access

	/**
	 * Returns the members that count towards the quorum.
	 * @return the voters
	 */
	public List<Member> voters() {
		return this.members.stream().filter((member) -> member.role().countsForMajority()).toList();
	}

	/**
	 * Finds the member on a host.
	 * @param host the host to look for
	 * @return the member, whatever its incarnation
	 */
	public Optional<Member> find(HostName host) {
		return this.members.stream().filter((member) -> member.id().host().equals(host)).findFirst();
	}

	/**
	 * Finds a member by host and incarnation.
	 * @param id the identity to look for
	 * @return the member, empty if the host has none or one of another incarnation
	 */
	public Optional<Member> find(MemberId id) {
		return this.members.stream().filter((member) -> member.id().equals(id)).findFirst();
	}

	/**
	 * Tells whether a member is a voter of this membership.
	 * @param id identity of the member
	 * @return {@code false} for learners and unknown members
	 */
	public boolean isVoter(MemberId id) {
		return find(id).filter((member) -> member.role().countsForMajority()).isPresent();
	}

	/**
	 * Tells whether a majority of the voters satisfies a condition.
	 * @param condition the condition on a voter
	 * @return {@code true} if more than half of the voters satisfy it
	 */
	public boolean isMajority(Predicate<MemberId> condition) {
		List<Member> voters = voters();
		long count = voters.stream().filter((voter) -> condition.test(voter.id())).count();
		return count > voters.size() / 2;
	}

	/**
	 * Returns the largest value that a majority of the voters has reached.
	 * @param value returns the value of a voter
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
	 * Returns a copy with a member added. Replaces any member on the same host.
	 * @param member the member to add
	 * @return the copy
	 */
	public Membership with(Member member) {
		List<Member> changed = new ArrayList<>(without(member.id().host()).members());
		changed.add(member);
		return new Membership(changed);
	}

	/**
	 * Returns a copy without the member on a host.
	 * @param host the host whose member is removed
	 * @return the copy
	 */
	public Membership without(HostName host) {
		return new Membership(this.members.stream().filter((member) -> !member.id().host().equals(host)).toList());
	}

}
