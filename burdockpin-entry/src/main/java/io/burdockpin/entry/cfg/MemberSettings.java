package io.burdockpin.entry.cfg;

import io.burdockpin.core.util.Checks;

/**
 * A control member.
 *
 * @param name name of its host
 * @param clientAddress where it takes entry hosts
 */
public record MemberSettings(String name, AddressSettings clientAddress) {

	public MemberSettings {
		Checks.name("control member", name);
	}

}
