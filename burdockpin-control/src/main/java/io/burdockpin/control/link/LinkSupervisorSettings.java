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
 * @param memberAddress where to listen for members
 * @param clientAddress where to listen for entry hosts
 * @param knownMembers the members named in the settings file; a member without a log
 * finds the others by them
 * @param connectAddresses where to connect for members that are not reached at their own
 * address
 * @param links settings of each link
 * @param restartMinimum shortest pause before a failed link is started again
 * @param restartMaximum longest pause before a failed link is started again
 */
public record LinkSupervisorSettings(InetSocketAddress memberAddress, InetSocketAddress clientAddress,
		Membership knownMembers, Map<HostName, String> connectAddresses, LinkSettings links, Duration restartMinimum,
		Duration restartMaximum) {

	public LinkSupervisorSettings {
		connectAddresses = Map.copyOf(connectAddresses);
	}

	/**
	 * Parses an address.
	 * @param address number of the host and port, {@code ip:port}
	 * @return the socket address
	 * @throws InvalidValueException if the address has another form
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
