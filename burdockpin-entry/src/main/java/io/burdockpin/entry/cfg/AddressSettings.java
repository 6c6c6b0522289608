package io.burdockpin.entry.cfg;

import java.net.InetSocketAddress;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.util.Checks;

/**
 * An address by IP number.
 *
 * @param ip the IP number
 * @param port the port; 0 lets the system choose
 */
public record AddressSettings(String ip, int port) {

	private static final int MAX_PORT = 65_535;

	public AddressSettings {
		if (ip == null || !ip.matches("[0-9a-fA-F.:]{2,45}")) {
			throw new InvalidValueException("ip \"%s\" is not an IP number".formatted(ip));
		}
		Checks.range("port", port, 0, MAX_PORT);
	}

	/**
	 * Returns the address for a socket.
	 * @return the address
	 */
	public InetSocketAddress socketAddress() {
		return new InetSocketAddress(this.ip, this.port);
	}

	/**
	 * Returns the address as text.
	 * @return {@code ip:port}
	 */
	public String hostAndPort() {
		return this.ip + ":" + this.port;
	}

}
