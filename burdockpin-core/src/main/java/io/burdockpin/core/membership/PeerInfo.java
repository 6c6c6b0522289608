package io.burdockpin.core.membership;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;

/**
 * An entry host as configured in the settings.
 *
 * @param host name of the entry host
 * @param dataCentre data centre of the entry host
 * @param httpAddress address on which it accepts requests and announcements,
 * {@code ip:port}
 */
public record PeerInfo(HostName host, DataCentre dataCentre, String httpAddress) {

}
