package io.burdockpin.entry.cfg;

import io.burdockpin.core.util.Checks;

/**
 * Name and client address of a control member.
 *
 * @param name host name of the member
 * @param clientAddress address that the member accepts entry hosts on
 */
public record MemberSettings(String name, AddressSettings clientAddress) {

	public MemberSettings {
		Checks.name("control member", name);
	}

}
