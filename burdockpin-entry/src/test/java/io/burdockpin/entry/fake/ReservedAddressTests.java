package io.burdockpin.entry.fake;

import java.io.IOException;
import java.net.BindException;
import java.net.ServerSocket;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

class ReservedAddressTests {

	private static final String IP = "127.1.0.5";

	/**
	 * Guards against an entry host that can't be bound, because another socket took the
	 * port between its choice and the bind.
	 */
	@Test
	void aReservedPortIsTakenByNoOtherSocketBeforeTheListenerOfTheTestIsBound() throws Exception {
		try (ReservedAddress address = new ReservedAddress(IP)) {
			Truth.assertThat(canBind(address, false)).isFalse();
			Truth.assertThat(canBind(address, true)).isTrue();
			Truth.assertThat(canBind(address, true)).isTrue();
		}
	}

	private static boolean canBind(ReservedAddress address, boolean reuse) throws IOException {
		try (ServerSocket listener = new ServerSocket()) {
			listener.setReuseAddress(reuse);
			listener.bind(address.settings().socketAddress());
			return true;
		}
		catch (BindException ex) {
			return false;
		}
	}

}
