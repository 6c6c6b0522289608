package io.burdockpin.core.consensus;

/**
 * A member of the control group.
 *
 * @param id its host and data folder
 * @param role whether it votes
 * @param address where it listens for other members, {@code ip:port}
 */
public record Member(MemberId id, MemberRole role, String address) {

	/**
	 * Returns the member with another role.
	 * @param newRole the role
	 * @return the copy
	 */
	public Member withRole(MemberRole newRole) {
		return new Member(this.id, newRole, this.address);
	}

}
