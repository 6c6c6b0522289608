package io.burdockpin.testbench.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;

import com.google.common.truth.Truth;
import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.program.FakeEntryHost;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against a proxy whose faults do not happen, which would make tests pass
 * vacuously.
 */
@Timeout(60)
class FaultProxyTests {

	private static final int SILENCE_MILLIS = 300;

	private ServerSocket target;

	private FaultProxy proxy;

	@BeforeEach
	void open() throws IOException {
		this.target = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
		this.proxy = new FaultProxy(FakeEntryHost.freeAddress(), new EndPoint("127.0.0.1", this.target.getLocalPort()));
	}

	@AfterEach
	void close() throws IOException {
		this.proxy.close();
		this.target.close();
	}

	@Test
	void bytesPassInBothDirections() throws IOException {
		try (Socket client = connect(); Socket server = this.target.accept()) {
			assertPasses(client, server);
			assertPasses(server, client);
		}
	}

	@Test
	void aCutToTheTargetStillPassesBytesToTheClient() throws IOException {
		try (Socket client = connect(); Socket server = this.target.accept()) {
			assertPasses(client, server);
			this.proxy.inject(Fault.CUT_TO_TARGET);
			assertSilent(client, server);
			assertPasses(server, client);
		}
	}

	@Test
	void aCutToTheClientStillPassesBytesToTheTarget() throws IOException {
		try (Socket client = connect(); Socket server = this.target.accept()) {
			assertPasses(client, server);
			this.proxy.inject(Fault.CUT_TO_CLIENT);
			assertSilent(server, client);
			assertPasses(client, server);
		}
	}

	@Test
	void aCutInBothDirectionsPassesNothing() throws IOException {
		try (Socket client = connect(); Socket server = this.target.accept()) {
			assertPasses(client, server);
			this.proxy.inject(Fault.CUT_BOTH);
			assertSilent(client, server);
			assertSilent(server, client);
		}
	}

	@Test
	void frozenBytesArriveAfterTheFreeze() throws IOException {
		try (Socket client = connect(); Socket server = this.target.accept()) {
			assertPasses(client, server);
			this.proxy.inject(Fault.FREEZE);
			assertSilent(client, server);
			this.proxy.inject(Fault.NONE);
			server.setSoTimeout(20_000);
			Truth.assertThat(server.getInputStream().read()).isEqualTo(1);
		}
	}

	@Test
	void aResetClosesTheConnection() throws IOException {
		try (Socket client = connect(); Socket server = this.target.accept()) {
			assertPasses(client, server);
			this.proxy.inject(Fault.RESET);
			client.setSoTimeout(20_000);
			Truth.assertThat(readsEnd(client)).isTrue();
		}
	}

	@Test
	void aRefusingProxyAcceptsNoConnection() throws IOException {
		EndPoint address = this.proxy.address();
		this.proxy.inject(Fault.REFUSE);
		Truth.assertThat(accepts(address)).isFalse();
	}

	private Socket connect() throws IOException {
		return new Socket(this.proxy.address().host(), this.proxy.address().port());
	}

	private static void assertPasses(Socket from, Socket to) throws IOException {
		from.getOutputStream().write(7);
		to.setSoTimeout(20_000);
		Truth.assertThat(to.getInputStream().read()).isEqualTo(7);
	}

	private static void assertSilent(Socket from, Socket to) throws IOException {
		from.getOutputStream().write(1);
		to.setSoTimeout(SILENCE_MILLIS);
		Truth.assertThat(readsInTime(to)).isFalse();
	}

	private static boolean readsInTime(Socket socket) throws IOException {
		try {
			socket.getInputStream().read();
			return true;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
	}

	private static boolean accepts(EndPoint address) {
		try (Socket socket = new Socket(address.host(), address.port())) {
			return socket.isConnected();
		}
		catch (IOException ex) {
			return false;
		}
	}

	private static boolean readsEnd(Socket socket) {
		try {
			return socket.getInputStream().read() == -1;
		}
		catch (IOException ex) {
			return true;
		}
	}

}
