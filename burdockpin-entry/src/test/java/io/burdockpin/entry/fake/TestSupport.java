package io.burdockpin.entry.fake;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

import io.burdockpin.entry.cfg.AddressSettings;

/** Finds free ports and waits for messages with a timeout. */
public final class TestSupport {

	/** Generous, because it is only reached when a test fails. */
	private static final long MAX_WAIT_SECONDS = 15;

	private TestSupport() {
	}

	public static AddressSettings freeAddress(String ip) {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
			return new AddressSettings(ip, socket.getLocalPort());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	public static <M> M poll(BlockingQueue<M> queue) {
		try {
			M message = queue.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
			if (message == null) {
				throw new AssertionError("no message arrived within %d s".formatted(MAX_WAIT_SECONDS));
			}
			return message;
		}
		catch (InterruptedException ex) {
			throw new AssertionError(ex);
		}
	}

}
