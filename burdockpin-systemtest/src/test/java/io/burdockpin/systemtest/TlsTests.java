package io.burdockpin.systemtest;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.cert.X509Certificate;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import javax.net.ssl.SSLSocket;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.operator.OperatorProgram;
import io.burdockpin.systemtest.fleet.Await;
import io.burdockpin.systemtest.fleet.Caller;
import io.burdockpin.systemtest.fleet.Caller.CallerRequest;
import io.burdockpin.systemtest.fleet.EntryHost;
import io.burdockpin.systemtest.fleet.Fleet;
import io.burdockpin.systemtest.fleet.JobCaller;
import io.burdockpin.systemtest.fleet.Operator;
import io.burdockpin.systemtest.fleet.StandInRunner;
import io.burdockpin.systemtest.fleet.TestAuthority;
import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.program.ProgramProcess;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** TLS on all links and for all callers keeps strangers out and stops nothing else. */
class TlsTests {

	private static final String KEY = "key-of-the-detailers-0123456789abcdef0123456789abcdef";

	private static final String QUEUE = "calls";

	private static final String POOL = "racks";

	private static Fleet fleet;

	private static Operator operator;

	@BeforeAll
	static void startFleet() {
		fleet = Fleet.startWithTls("tls", 2);
		operator = new Operator(fleet.entries());
	}

	@AfterAll
	static void stopFleet() {
		fleet.close();
	}

	/** Guards against a part of the fleet that cannot speak TLS. */
	@Test
	void aRequestAJobAndAnOperatorChangeAreCarriedOut() {
		TeamName team = new TeamName("detailers");
		operator.change("create-team", new ConfigurationCommand.CreateTeam(new TeamSpec(team, 1, 50, 0)));
		operator.change("grant-key", new ConfigurationCommand.GrantKey(team, KeyHash.of(KEY), "test"));
		operator.change("create-queue", new ConfigurationCommand.CreateQueue(new QueueName(QUEUE), false));
		operator.change("create-pool",
				new ConfigurationCommand.CreatePool(new PoolName(POOL), AvailabilityBudget.DEFAULT, false));
		operator.change("add-w1", new ConfigurationCommand.AddHost(new HostSpec(new HostName("w1"),
				new DataCentre("dc1"), new Rack("rack-1"), new Resources(16_000, 32_768, 0)), new PoolName(POOL)));
		fleet.startWorker("w1", 0);
		fleet.startRunner("r1", QUEUE, 0, 10);
		Caller caller = new Caller(QUEUE, Optional.of(KEY));
		for (EntryHost entry : fleet.entries()) {
			Await.until("an answer through " + entry.name(),
					() -> caller.send(entry, request(entry.name())).join().isOwnEcho());
		}
		JobCaller jobs = new JobCaller(fleet.entries().get(1), KEY);
		String job = jobs.submit(System.currentTimeMillis() / 1000 + "-tls", POOL, 100, true);
		Await.until("success of the job", () -> jobs.state(job).equals(Optional.of("SUCCEEDED")));
	}

	/**
	 * Guards against a listener that takes any certificate. The stranger trusts the
	 * fleet, so that only the fleet can refuse.
	 */
	@Test
	void aProcessWithACertificateOfAnotherAuthorityGetsNoLink() {
		TestAuthority other = new TestAuthority(fleet.folder(), "other");
		EntryHost stranger = fleet.startEntryLike(1, "stranger", other, trustFileWith(other));
		Await.until("a refusal by each member",
				() -> fleet.members()
					.stream()
					.allMatch((member) -> log(member.name()).contains("Refused connection client-")));
		// Its links are refused before it listens for callers.
		Await.until("an answer of the stranger", () -> stranger.health().says("entryHost", "e2"));
		Truth.assertThat(stranger.health().number("configurationIndex")).isEqualTo(0);
		Truth.assertThat(fleet.entries().get(1).health().number("configurationIndex")).isGreaterThan(0L);
		stranger.process().kill();
	}

	/**
	 * Guards against a request that reaches whoever announces a runner. The stranger
	 * trusts the fleet, so that only the entry host can refuse; once it has attached, the
	 * requests are tried there.
	 */
	@Test
	void aRunnerWithACertificateOfAnotherAuthorityGetsNoRequest() {
		TestAuthority other = new TestAuthority(fleet.folder(), "stranger-to-callers");
		Map<String, Object> tls = new HashMap<>(other.sign("stranger-runner", "127.0.0.1"));
		tls.put("trustFile", trustFileWith(other));
		operator.change("create-stranger-queue",
				new ConfigurationCommand.CreateQueue(new QueueName("strangers"), true));
		StandInRunner stranger = fleet.startRunner("stranger-runner", "strangers", 0, 10, Optional.of(tls));
		Caller caller = new Caller("strangers", Optional.empty());
		EntryHost entry = fleet.entries().get(0);
		Await.until("an attempt on the stranger", () -> {
			Truth.assertThat(caller.send(entry, request("stranger")).join().saysNotRun()).isTrue();
			return log("e1").contains("No trusted connection to runner stranger-runner");
		});
		Truth.assertThat(stranger.starts()).isEmpty();
		stranger.process().close();
	}

	/** Guards against requests that leave an entry host plain against the settings. */
	@Test
	void aPlainRunnerIsRefusedWhereTlsIsRequired() {
		operator.change("create-plain-queue", new ConfigurationCommand.CreateQueue(new QueueName("plain"), true));
		StandInRunner plain = fleet.startRunner("plain-runner", "plain", 0, 10, Optional.empty());
		Await.until("a refused announcement",
				() -> log("e1").contains("runner plain-runner takes requests without TLS"));
		Truth
			.assertThat(new Caller("plain", Optional.empty()).send(fleet.entries().get(0), request("plain"))
				.join()
				.saysNotRun())
			.isTrue();
		Truth.assertThat(plain.starts()).isEmpty();
		plain.process().close();
	}

	/** Guards against keys and bodies that pass in plain text by mistake. */
	@Test
	void aPlainTextCallerIsRefused() throws InterruptedException {
		assertPlainIsRefused(fleet.entries().get(0).httpAddress());
		Truth.assertThat(fleet.entries().get(0).health().says("entryHost", "e1")).isTrue();
	}

	/** Guards against a page of a member that anyone on the way can forge. */
	@Test
	void theHealthPageOfAMemberIsServedOverTlsOnly() throws InterruptedException {
		assertPlainIsRefused(fleet.members().get(0).adminAddress());
		Truth.assertThat(fleet.members().get(0).health().says("host", "c1")).isTrue();
	}

	private static void assertPlainIsRefused(EndPoint address) throws InterruptedException {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + "/ready"))
			.timeout(Duration.ofSeconds(10))
			.build();
		try {
			Truth.assertWithMessage("answer")
				.that(HttpClient.newHttpClient().send(request, BodyHandlers.ofString()))
				.isNull();
		}
		catch (IOException ex) {
			// The refusal.
		}
	}

	/** Guards against an operator that is told less than the truth about a connection. */
	@Test
	void burdockctlCallsOnlyEntryHostsThatItTrusts() {
		TestAuthority other = new TestAuthority(fleet.folder(), "stranger-to-operators");
		Truth.assertThat(burdockctl("trusting", "--trust-file", trustFile())).isEqualTo(0);
		Truth.assertThat(burdockctl("distrusting", "--trust-file", other.trustFile())).isEqualTo(3);
		Truth.assertThat(log("distrusting")).contains("no trusted connection");
		Truth.assertThat(burdockctl("without-trust")).isEqualTo(2);
	}

	/** Guards against a renewal that needs a restart or breaks open links. */
	@Test
	void aRenewedCertificateComesIntoForceWithoutARestart() throws IOException {
		EntryHost entry = fleet.entries().get(0);
		X509Certificate first = certificateOf(entry);
		Map<String, Object> renewed = fleet.authority().sign("renewed-e1", "e1", entry.httpAddress().host());
		for (String file : List.of("certificateFile", "keyFile")) {
			Path target = fleet.folder().resolve("e1" + (file.equals("keyFile") ? "-key.pem" : ".pem"));
			Files.copy(Path.of(renewed.get(file).toString()), target, StandardCopyOption.REPLACE_EXISTING);
		}
		Await.until("the renewed certificate", () -> !certificateOf(entry).equals(first));
		Truth.assertThat(log("e1")).contains("New connections use the changed certificate");
		Truth.assertThat(log("e1")).doesNotContain("Lost the connection");
		operator.change("after-renewal", new ConfigurationCommand.CreateQueue(new QueueName("renewed"), true));
		fleet.awaitSameConfiguration();
	}

	// helpers

	private static CallerRequest request(String name) {
		return new CallerRequest(System.currentTimeMillis() / 1000 + "-" + name, "body of " + name, true, 5000);
	}

	private static int burdockctl(String name, String... more) {
		List<String> arguments = new ArrayList<>(List.of("team", "list", "--entry", fleet.entries().get(0).url()));
		arguments.addAll(List.of(more));
		ProgramProcess process = new ProgramProcess(name, fleet.folder(), OperatorProgram.class, arguments);
		process.start();
		return process.awaitEnd();
	}

	private static X509Certificate certificateOf(EntryHost entry) {
		InetSocketAddress address = new InetSocketAddress(entry.httpAddress().host(), entry.httpAddress().port());
		try (SSLSocket socket = (SSLSocket) fleet.authority().callerContext().getSocketFactory().createSocket()) {
			socket.connect(address);
			socket.startHandshake();
			return (X509Certificate) socket.getSession().getPeerCertificates()[0];
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static String trustFile() {
		return fleet.authority().trustFile();
	}

	private static String trustFileWith(TestAuthority other) {
		try {
			return Files
				.writeString(Path.of(other.trustFile() + ".both"),
						Files.readString(Path.of(other.trustFile())) + Files.readString(Path.of(trustFile())))
				.toString();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static String log(String program) {
		try {
			return Files.readString(fleet.folder().resolve(program + ".log"));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
