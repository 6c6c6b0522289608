package io.burdockpin.entry.cfg;

import java.net.InetSocketAddress;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.util.Checks;

/**
 * A listening or remote address, given as a numeric IP address and a port.
 *
 * @param ip numeric IPv4 or IPv6 address; host names are rejected
 * @param port TCP port; 0 lets the operating system choose
 */
public record AddressSettings(String ip, int port) {

	private static final int MAX_PORT = 65_535;

	public AddressSettings {
		if (ip == null || !ip.matches("[0-9a-fA-F.:]{2,45}")) {
			throw new InvalidValueException("ip \"%s\" is not a numeric IP address".formatted(ip));
		}
		Checks.range("port", port, 0, MAX_PORT);
	}

	/**
	 * Returns the address in the form that sockets take.
	 * @return the address, already resolved
	 */
	public InetSocketAddress socketAddress() {
		return new InetSocketAddress(this.ip, this.port);
	}

	/**
	 * Formats the address.
	 * @return {@code ip:port}
	 */
	public String hostAndPort() {
		return this.ip + ":" + this.port;
	}

}
