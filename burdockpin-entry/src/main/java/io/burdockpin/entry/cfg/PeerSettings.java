package io.burdockpin.entry.cfg;

import io.burdockpin.core.membership.PeerInfo;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.util.Checks;

/**
 * Another entry host.
 *
 * @param name its name
 * @param dataCentre where it stands
 * @param httpAddress where it takes announcements
 * @param peerAddress where it takes other entry hosts
 */
public record PeerSettings(String name, String dataCentre, AddressSettings httpAddress, AddressSettings peerAddress) {

	public PeerSettings {
		Checks.name("entry host", name);
		Checks.name("data centre", dataCentre);
	}

	/**
	 * Returns the entry host without its peer address.
	 * @return name, data centre and HTTP address
	 */
	public PeerInfo toPeerInfo() {
		return new PeerInfo(new HostName(this.name), new DataCentre(this.dataCentre), this.httpAddress.hostAndPort());
	}

}
