package io.burdockpin.entry.fake;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.Socket;

import io.burdockpin.entry.cfg.AddressSettings;

/**
 * An address whose port the system has chosen and keeps for this test until it is closed.
 * A socket that is bound but neither listens nor connects keeps it: a listener that may
 * reuse addresses, as all listeners of the entry program do, can be bound to it
 * meanwhile.
 */
public final class ReservedAddress implements AutoCloseable {

	private final Socket reservation = new Socket();

	private final AddressSettings settings;

	public ReservedAddress(String ip) {
		try {
			this.reservation.setReuseAddress(true);
			this.reservation.bind(new InetSocketAddress(ip, 0));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.settings = new AddressSettings(ip, this.reservation.getLocalPort());
	}

	public AddressSettings settings() {
		return this.settings;
	}

	@Override
	public void close() {
		try {
			this.reservation.close();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
