package io.burdockpin.control.link;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;

import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.util.Checks;
import io.burdockpin.runtime.link.LinkSettings;

/**
 * Settings of the links. Immutable.
 *
 * @param memberAddress listen address for members
 * @param clientAddress listen address for entry hosts
 * @param knownMembers members from the settings file, through which a member with an
 * empty log finds the others
 * @param connectAddresses addresses of members that cannot be reached at their advertised
 * address
 * @param links settings of each link
 * @param restartMinimum minimum back-off before a failed link is restarted
 * @param restartMaximum maximum back-off before a failed link is restarted
 */
public record LinkSupervisorSettings(InetSocketAddress memberAddress, InetSocketAddress clientAddress,
		Membership knownMembers, Map<HostName, String> connectAddresses, LinkSettings links, Duration restartMinimum,
		Duration restartMaximum) {

	public LinkSupervisorSettings {
		connectAddresses = Map.copyOf(connectAddresses);
	}

	/**
	 * Parses an address.
	 * @param address an IP address and port, {@code ip:port}
	 * @return the socket address
	 * @throws InvalidValueException if the address is malformed
	 */
	public static InetSocketAddress socketAddress(String address) {
		int colon = (address != null) ? address.lastIndexOf(':') : -1;
		if (colon < 1) {
			throw new InvalidValueException("address \"%s\" is not of the form ip:port".formatted(address));
		}
		try {
			int port = Integer.parseInt(address.substring(colon + 1));
			return new InetSocketAddress(address.substring(0, colon), Checks.range("port", port, 1, 65_535));
		}
		catch (NumberFormatException ex) {
			throw new InvalidValueException("address \"%s\" is not of the form ip:port".formatted(address));
		}
	}

}
