package io.burdockpin.core.consensus;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Decides which membership changes restore the redundancy of a group without an operator:
 * a host that waits to join takes the place of a voter that is silent. The host first
 * becomes a voter and the silent one is removed afterwards. Hence the group never counts
 * on more hosts than are in contact, and a silent voter that comes back in between still
 * counts. Each change adds or removes one voter. Stateless.
 */
public final class GroupRepair {

	/**
	 * Longer than the time after which an unresponsive link is reopened. A voter that
	 * comes back later asks to join again.
	 */
	static final long SILENCE_MILLIS = 2_000;

	/**
	 * After this time, a group in which one data centre could stop it is better than one
	 * without redundancy. Far longer than an ordinary network partition.
	 */
	static final long LONG_SILENCE_MILLIS = 15_000;

	private final int intendedVoters;

	/**
	 * Creates the decisions for a group.
	 * @param intendedVoters number of voters of a complete group
	 */
	public GroupRepair(int intendedVoters) {
		this.intendedVoters = intendedVoters;
	}

	/**
	 * Decides about a host that asks to join. Asked again, with the same answer, until
	 * the host belongs to the group.
	 * @param candidate identity of the host that asks
	 * @param contact the leader's view of the group
	 * @return the decision
	 */
	public AdmissionDecision decide(MemberId candidate, GroupContact contact) {
		Membership membership = contact.membership();
		if (membership.find(candidate).isPresent()) {
			return AdmissionDecision.ALREADY_MEMBER;
		}
		if (membership.find(candidate.host()).isPresent()) {
			return AdmissionDecision.REPLACE_LOST_DISK;
		}
		if (membership.members().size() > membership.voters().size()) {
			return AdmissionDecision.WAIT_FOR_OTHER_CANDIDATE;
		}
		if (membership.voters().size() < this.intendedVoters) {
			return AdmissionDecision.FILL_GROUP;
		}
		Optional<Member> silent = longestSilent(membership.voters(), contact);
		if (silent.isEmpty()) {
			return AdmissionDecision.WAIT_GROUP_COMPLETE;
		}
		boolean isLongSilent = contact.silentMillisOf(silent.get().id()) >= LONG_SILENCE_MILLIS;
		return (isLongSilent || !wouldCrowd(candidate, silent.get(), contact)) ? AdmissionDecision.SUCCEED_SILENT_VOTER
				: AdmissionDecision.WAIT_DATA_CENTRE_CROWDED;
	}

	/**
	 * Returns the member to remove. A group with a surplus voter loses a silent one or
	 * else the one that joined last. A silent learner is removed, so that another host
	 * can join.
	 * @param contact the leader's view of the group
	 * @return the member, empty if none has to be removed
	 */
	public Optional<Member> surplus(GroupContact contact) {
		Membership membership = contact.membership();
		if (hasSurplusVoter(membership)) {
			return longestSilent(membership.voters(), contact).or(() -> lastOther(membership.voters(), contact));
		}
		List<Member> learners = membership.members()
			.stream()
			.filter((member) -> !member.role().countsForMajority())
			.toList();
		boolean isReplaceable = membership.voters().size() == this.intendedVoters;
		return isReplaceable ? longestSilent(learners, contact) : Optional.empty();
	}

	/**
	 * Checks whether a voter has to be removed.
	 * @param membership the newest membership in the log
	 * @return {@code true} if the group has more voters than intended
	 */
	public boolean hasSurplusVoter(Membership membership) {
		return membership.voters().size() > this.intendedVoters;
	}

	/**
	 * Returns how many more voters may be lost before the group stops.
	 * @param contact the leader's view of the group
	 * @return number of voters
	 */
	public int bearableLosses(GroupContact contact) {
		List<Member> voters = contact.membership().voters();
		long inContact = voters.stream().filter((voter) -> !isSilent(voter, contact)).count();
		return (int) Math.max(0, inContact - (voters.size() / 2 + 1));
	}

	private boolean wouldCrowd(MemberId candidate, Member silent, GroupContact contact) {
		Optional<String> dataCentre = contact.dataCentre(candidate.host());
		long others = contact.membership()
			.voters()
			.stream()
			.filter((voter) -> !voter.equals(silent))
			.filter((voter) -> dataCentre.isPresent() && dataCentre.equals(contact.dataCentre(voter.id().host())))
			.count();
		return others + 1 > (this.intendedVoters - 1) / 2;
	}

	private static Optional<Member> longestSilent(List<Member> members, GroupContact contact) {
		return members.stream()
			.filter((member) -> isSilent(member, contact))
			.max(Comparator.comparingLong((member) -> contact.silentMillisOf(member.id())));
	}

	private static Optional<Member> lastOther(List<Member> voters, GroupContact contact) {
		return voters.stream().filter((voter) -> !voter.id().equals(contact.self())).reduce((earlier, later) -> later);
	}

	private static boolean isSilent(Member member, GroupContact contact) {
		return contact.silentMillisOf(member.id()) >= SILENCE_MILLIS;
	}

}
