package io.burdockpin.entry.fake;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.entry.EntryGuardian;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.cfg.AddressSettings;
import io.burdockpin.entry.cfg.EntrySettings;
import io.burdockpin.entry.cfg.LimitSettings;
import io.burdockpin.entry.cfg.MemberSettings;
import io.burdockpin.entry.cfg.PeerSettings;
import io.burdockpin.entry.cfg.TimingSettings;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.GuardianCommand;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;

/** An entry host on the loopback network, with an HTTP client for its callers. */
public final class TestEntry {

	/** The default of 3 s was too short for the first start on a busy machine. */
	private static final Duration MAX_START_TIME = Duration.ofSeconds(15);

	private final HttpClient client = HttpClient.newHttpClient();

	private final AddressSettings http;

	private final ActorRef<GuardianCommand> guardian;

	private TestEntry(AddressSettings http, ActorRef<GuardianCommand> guardian) {
		this.http = http;
		this.guardian = guardian;
	}

	/** Starts an entry host and waits until it has acknowledged its configuration. */
	public static TestEntry start(ActorTestKit kit, PeerSettings self, List<PeerSettings> peers, FakeControl control) {
		return start(kit, self, peers, control, InstantSource.system(), LimitSettings.defaults());
	}

	public static TestEntry start(ActorTestKit kit, PeerSettings self, List<PeerSettings> peers, FakeControl control,
			InstantSource clock, LimitSettings limits) {
		TimingSettings defaults = TimingSettings.defaults();
		TimingSettings timing = new TimingSettings(60_000, defaults.peerStatusMillis(), defaults.peerSilentMillis(),
				defaults.proposalMillis(), defaults.workerBatchMillis(), defaults.tokenReportMillis(), null, null, null,
				1, null, null, 60_000, null);
		List<MemberSettings> members = List.of(control.settings());
		EntrySettings settings = new EntrySettings(self.name(), self.dataCentre(), self.httpAddress(),
				self.peerAddress(), peers, members, limits, timing, null, Optional.empty(), null, null,
				Optional.empty(), Optional.empty(), null);
		EntryIdentity identity = new EntryIdentity(new Holder(new HostName(self.name()), 7), settings.self(), clock);
		ActorRef<GuardianCommand> guardian = kit.spawn(EntryGuardian.create(identity, settings, Optional.empty(),
				RandomGenerator.of("L64X128MixRandom"), new CompletableFuture<ExitStatus>()), self.name());
		TestProbe<InetSocketAddress> bound = kit.createTestProbe();
		guardian.tell(new EntryGuardian.AwaitBound(bound.getRef()));
		bound.receiveMessage(MAX_START_TIME);
		control.await(ClientMessage.FeedAcknowledgement.class);
		return new TestEntry(self.httpAddress(), guardian);
	}

	public ActorRef<GuardianCommand> guardian() {
		return this.guardian;
	}

	/** Opens a raw caller connection that the test closes itself. */
	public Socket openConnection() throws IOException {
		return new Socket(this.http.ip(), this.http.port());
	}

	public CompletableFuture<HttpResponse<String>> send(String method, String path, Map<String, String> headers,
			String body) {
		HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + this.http.hostAndPort() + path))
			.method(method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body));
		headers.forEach(request::header);
		return this.client.sendAsync(request.build(), BodyHandlers.ofString());
	}

	public HttpResponse<String> call(String method, String path, Map<String, String> headers, String body) {
		return send(method, path, headers, body).orTimeout(20, TimeUnit.SECONDS).join();
	}

	public CompletableFuture<HttpResponse<String>> submit(Map<String, String> headers, String body) {
		return send("POST", "/v1/queues/quotes/requests", headers, body);
	}

	public HttpResponse<String> announce(String name, FakeRunner runner, boolean leaving) {
		return call("POST", "/v1/upstreams/announce", Map.of(), """
				{"runner":"%s","queue":"quotes","dataCentre":"dc-1","address":"%s","slots":2,"connections":4,\
				"epoch":1,"slotsInUse":0,"leaving":%s}""".formatted(name, runner.address(), leaving));
	}

	public HttpResponse<String> announce(String name, FakeRunner runner, boolean leaving, long clockMillis) {
		return call("POST", "/v1/upstreams/announce", Map.of(), """
				{"runner":"%s","queue":"quotes","dataCentre":"dc-1","address":"%s","slots":2,"connections":4,\
				"epoch":1,"slotsInUse":0,"leaving":%s,"clockMillis":%d}""".formatted(name, runner.address(), leaving,
				clockMillis));
	}

}
