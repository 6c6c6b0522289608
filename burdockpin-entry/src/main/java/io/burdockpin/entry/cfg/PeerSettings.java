package io.burdockpin.entry.cfg;

import io.burdockpin.core.membership.PeerInfo;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.util.Checks;

/**
 * Names and addresses of another entry host.
 *
 * @param name host name of the peer
 * @param dataCentre data centre of the peer
 * @param httpAddress address for announcements of runners and workers
 * @param peerAddress address for links from other entry hosts
 */
public record PeerSettings(String name, String dataCentre, AddressSettings httpAddress, AddressSettings peerAddress) {

	public PeerSettings {
		Checks.name("entry host", name);
		Checks.name("data centre", dataCentre);
	}

	/**
	 * Converts these settings to the description used by routing.
	 * @return name, data centre and HTTP address
	 */
	public PeerInfo toPeerInfo() {
		return new PeerInfo(new HostName(this.name), new DataCentre(this.dataCentre), this.httpAddress.hostAndPort());
	}

}
