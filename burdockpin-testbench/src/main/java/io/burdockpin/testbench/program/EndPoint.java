package io.burdockpin.testbench.program;

import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.util.Checks;

/**
 * An address to listen on or to connect to.
 *
 * @param host the IP number
 * @param port the TCP port, 0 for any free one
 */
public record EndPoint(String host, int port) {

	private static final int MAX_PORT = 65535;

	public EndPoint {
		Checks.range("port", port, 0, MAX_PORT);
	}

	/**
	 * Parses {@code ip:port}.
	 * @param text the text
	 * @return the address
	 */
	public static EndPoint parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon <= 0) {
			throw new InvalidValueException("address \"%s\" is not of the form ip:port".formatted(text));
		}
		try {
			return new EndPoint(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			throw new InvalidValueException("port in address \"%s\" is not a number".formatted(text));
		}
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
