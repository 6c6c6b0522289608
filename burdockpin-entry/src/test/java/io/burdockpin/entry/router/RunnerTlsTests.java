package io.burdockpin.entry.router;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import javax.net.ServerSocketFactory;
import javax.net.ssl.SSLServerSocket;

import com.google.common.truth.Truth;
import io.burdockpin.core.membership.PeerInfo;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.routing.RunnerAttachment;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.fake.FakeRunner;
import io.burdockpin.runtime.link.TlsLinkTransport;
import io.burdockpin.runtime.metric.MetricRegistry;
import io.burdockpin.runtime.tls.ReloadableTlsIdentity;
import io.burdockpin.runtime.tls.TestAuthority;
import io.burdockpin.runtime.tls.TlsSettings;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Verifies that no request reaches a process that impersonates a runner, and that the
 * outcome is not reported as unknown if nothing was sent.
 */
class RunnerTlsTests {

	private static final Duration LONGEST_WAIT = Duration.ofSeconds(60);

	private static final String IP = "127.41.2.1";

	private final ActorTestKit kit = ActorTestKit.create();

	private final TestProbe<AttemptReport> reports = this.kit.createTestProbe();

	@TempDir
	private Path folder;

	private TestAuthority authority;

	private ActorRef<RunnerConnections.Command> connections;

	private long lastAttempt;

	@BeforeEach
	void startConnections() {
		this.authority = new TestAuthority(this.folder, "authority");
		EntryIdentity identity = new EntryIdentity(new Holder(new HostName("entry-1"), 7),
				new PeerInfo(new HostName("entry-1"), new DataCentre("dc-1"), "127.41.2.2:1"),
				() -> Instant.ofEpochMilli(1_000_000));
		TlsLinkTransport tls = new TlsLinkTransport(
				new ReloadableTlsIdentity(this.authority.sign("entry-1"), "entry-1"));
		this.connections = this.kit.spawn(RunnerConnections.create(identity,
				new RunnerConnector(this.kit.system(), Duration.ofSeconds(60), 1024, Optional.of(tls)), 60_000,
				new MetricRegistry()));
	}

	@AfterEach
	void stop() {
		this.kit.shutdownTestKit();
	}

	/**
	 * With TLS 1.3 the library may report the end of the handshake twice, which must not
	 * send the request twice.
	 */
	@Test
	void aRunnerWhoseCertificateNamesItGetsEachRequestOnceFromAnEntryHostThatShowsItsOwn() {
		try (FakeRunner runner = runner(this.authority.sign("runner-1"))) {
			RunnerAttachment attachment = attachment(runner.address());
			this.connections.tell(new RunnerConnections.LimitIdle(Map.of(attachment, 1)));
			for (int count = 0; count < 3; count++) {
				send(attachment, 30_000);
				FakeRunner.Call call = runner.awaitCall();
				Truth.assertThat(call.attempt()).isEqualTo(Long.toString(this.lastAttempt));
				call.answer("done");
				Truth.assertThat(outcome()).isEqualTo(Outcome.RAN);
			}
			Truth.assertThat(runner.connectionCount()).isEqualTo(1);
		}
	}

	@Test
	void aRunnerWhoseCertificateNamesAnotherRunnerGetsNoRequest() {
		assertNotRun(runner(this.authority.sign("runner-2")));
	}

	/**
	 * The runner trusts the entry host, so only the entry host can reject the handshake.
	 */
	@Test
	void aRunnerWithACertificateOfAnotherAuthorityGetsNoRequest() throws IOException {
		TlsSettings untrusted = new TestAuthority(this.folder, "other").sign("runner-1");
		Path both = Files.writeString(this.folder.resolve("both.pem"), Files.readString(Path.of(untrusted.trustFile()))
				+ Files.readString(Path.of(this.authority.trustFile())));
		assertNotRun(runner(new TlsSettings(untrusted.certificateFile(), untrusted.keyFile(), both.toString(), null)));
	}

	@Test
	void aPlainRunnerThatAnnouncedTlsGetsNoRequest() {
		assertNotRun(new FakeRunner(IP));
	}

	@Test
	void aRunnerThatNeverAnswersTheHandshakeHasNotRunTheRequest() throws IOException {
		try (ServerSocket silent = ServerSocketFactory.getDefault().createServerSocket(0)) {
			send(attachment("127.0.0.1:" + silent.getLocalPort()), 30_000);
			Truth.assertThat(outcome()).isEqualTo(Outcome.NOT_RUN);
		}
	}

	@Test
	void aRunnerThatEndsBeforeItsAnswerLeavesTheOutcomeUnknown() {
		try (FakeRunner runner = runner(this.authority.sign("runner-1"))) {
			send(attachment(runner.address()), 30_000);
			runner.awaitCall().closeConnection();
			Truth.assertThat(outcome()).isEqualTo(Outcome.UNKNOWN);
		}
	}

	@Test
	void aRequestWhoseDeadlinePassesDuringTheHandshakeHasNotRun() throws IOException {
		try (ServerSocket silent = ServerSocketFactory.getDefault().createServerSocket(0)) {
			send(attachment("127.0.0.1:" + silent.getLocalPort()), 1);
			Truth.assertThat(outcome()).isEqualTo(Outcome.NOT_RUN);
		}
	}

	// helpers

	private void assertNotRun(FakeRunner runner) {
		try (runner) {
			send(attachment(runner.address()), 30_000);
			Truth.assertThat(outcome()).isEqualTo(Outcome.NOT_RUN);
			Truth.assertThat(runner.pendingCallCount()).isEqualTo(0);
		}
	}

	private FakeRunner runner(TlsSettings settings) {
		ReloadableTlsIdentity tls = new ReloadableTlsIdentity(settings, hostOf(settings));
		return new FakeRunner(IP, new ClientAuthentication(tls));
	}

	private static String hostOf(TlsSettings settings) {
		return Path.of(settings.certificateFile()).getFileName().toString().replace(".pem", "");
	}

	private static RunnerAttachment attachment(String address) {
		return new RunnerAttachment(new RunnerName("runner-1"), address, true, 1);
	}

	private Outcome outcome() {
		return this.reports.receiveMessage(LONGEST_WAIT).result().outcome();
	}

	private void send(RunnerAttachment attachment, long remainingMillis) {
		RunnerCall call = new RunnerCall(++this.lastAttempt, new QueueName("quotes"), new RequestId("request"),
				"text/plain; charset=UTF-8", Payload.of(new byte[] { 1, 2, 3 }), remainingMillis, OptionalLong.empty());
		this.connections.tell(new RunnerConnections.Attempt(attachment, call, true, this.reports.getRef()));
	}

	/** Creates server sockets that require a trusted client certificate. */
	private static final class ClientAuthentication extends ServerSocketFactory {

		private final ReloadableTlsIdentity tls;

		ClientAuthentication(ReloadableTlsIdentity tls) {
			this.tls = tls;
		}

		@Override
		public ServerSocket createServerSocket(int port) throws IOException {
			return createServerSocket(port, 50);
		}

		@Override
		public ServerSocket createServerSocket(int port, int backlog) throws IOException {
			return createServerSocket(port, backlog, null);
		}

		@Override
		public ServerSocket createServerSocket(int port, int backlog, java.net.InetAddress address) throws IOException {
			SSLServerSocket socket = (SSLServerSocket) this.tls.identity()
				.context()
				.getServerSocketFactory()
				.createServerSocket(port, backlog, address);
			socket.setNeedClientAuth(true);
			return socket;
		}

	}

}
