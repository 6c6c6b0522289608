package io.burdockpin.core.consensus;

/**
 * A member of the consensus group.
 *
 * @param id host and incarnation of the member
 * @param role voter or learner
 * @param address the address on which it accepts connections of other members,
 * {@code ip:port}
 */
public record Member(MemberId id, MemberRole role, String address) {

	/**
	 * Returns a copy with another role.
	 * @param newRole the role of the copy
	 * @return the copy
	 */
	public Member withRole(MemberRole newRole) {
		return new Member(this.id, newRole, this.address);
	}

}
