package io.burdockpin.core.membership;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;

/**
 * An entry host as the settings name it.
 *
 * @param host the entry host
 * @param dataCentre where it stands
 * @param httpAddress where it takes requests and announcements, {@code ip:port}
 */
public record PeerInfo(HostName host, DataCentre dataCentre, String httpAddress) {

}
