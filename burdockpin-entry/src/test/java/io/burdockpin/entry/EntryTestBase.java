package io.burdockpin.entry;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.KeyRecord;
import io.burdockpin.core.state.QueueRecord;
import io.burdockpin.core.state.TeamRecord;
import io.burdockpin.entry.cfg.AddressSettings;
import io.burdockpin.entry.cfg.LimitSettings;
import io.burdockpin.entry.cfg.PeerSettings;
import io.burdockpin.entry.fake.FakeControl;
import io.burdockpin.entry.fake.FakeRunner;
import io.burdockpin.entry.fake.ReservedAddress;
import io.burdockpin.entry.fake.TestEntry;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/**
 * Base class of tests with a fake control member, a fake runner and up to two entry
 * hosts. The configuration has one team, one queue, and one key each that is valid,
 * withdrawn or of a deleted team.
 */
abstract class EntryTestBase {

	private static final Duration MAX_WAIT = Duration.ofSeconds(15);

	static final TeamName TEAM = new TeamName("specifiers");

	static final Map<String, String> REPEATABLE = Map.of("Burdock-Key", "key-1", "Burdock-Repeatable", "true");

	private final List<ReservedAddress> addresses = new ArrayList<>();

	private final PeerSettings first = peer("entry-1", "127.1.0.2");

	private final PeerSettings second = peer("entry-2", "127.1.0.3");

	private final ActorTestKit testKit = ActorTestKit.create();

	private final FakeRunner runner = new FakeRunner("127.1.0.4");

	private FakeControl control;

	@BeforeEach
	void startControl() {
		this.control = new FakeControl(this.testKit, configuration(5, false), tokenCount());
	}

	/** Returns the configuration at an index, with the first key valid or withdrawn. */
	ConfigurationSnapshot configuration(long index, boolean firstKeyWithdrawn) {
		return new ConfigurationSnapshot(index, List.of(), List.of(),
				List.of(new TeamRecord(new TeamSpec(TEAM, 1, 10, 0), 1)),
				List.of(new KeyRecord(KeyHash.of("key-1"), TEAM, "first", firstKeyWithdrawn, 1),
						new KeyRecord(KeyHash.of("key-2"), TEAM, "second", true, 1),
						new KeyRecord(KeyHash.of("key-3"), new TeamName("deleted"), "third", false, 1)),
				List.of(new QueueRecord(new QueueName("quotes"), false, 1)));
	}

	@AfterEach
	void stopAll() {
		this.runner.close();
		this.testKit.shutdownTestKit();
		this.control.close();
		this.addresses.forEach(ReservedAddress::close);
	}

	/** Returns the number of tokens that each team is granted. */
	int tokenCount() {
		return 10;
	}

	void kill(TestEntry entry) {
		this.testKit.stop(entry.guardian());
	}

	TestProbe<Void> probe() {
		return this.testKit.createTestProbe();
	}

	FakeControl control() {
		return this.control;
	}

	FakeRunner runner() {
		return this.runner;
	}

	TestEntry startSingle() {
		return TestEntry.start(this.testKit, this.first, List.of(), this.control);
	}

	TestEntry startSingle(InstantSource clock) {
		return TestEntry.start(this.testKit, this.first, List.of(), this.control, clock, LimitSettings.defaults());
	}

	TestEntry startSingle(LimitSettings limits) {
		return TestEntry.start(this.testKit, this.first, List.of(), this.control, InstantSource.system(), limits);
	}

	TestEntry startFirst() {
		return TestEntry.start(this.testKit, this.first, List.of(this.second), this.control);
	}

	TestEntry startSecond() {
		return TestEntry.start(this.testKit, this.second, List.of(this.first), this.control);
	}

	private PeerSettings peer(String name, String ip) {
		return new PeerSettings(name, "dc-1", address(ip), address(ip));
	}

	private AddressSettings address(String ip) {
		ReservedAddress address = new ReservedAddress(ip);
		this.addresses.add(address);
		return address.settings();
	}

	static Map<String, String> nonRepeatable(String token) {
		return Map.of("Burdock-Key", "key-1", "Burdock-Request-Id", newRequestId(token));
	}

	static String newRequestId(String token) {
		return System.currentTimeMillis() / 1000 + "-" + token;
	}

	/** Waits until the given number of requests is queued. */
	protected void awaitQueueLength(TestEntry entry, int count) {
		probe().awaitAssert(MAX_WAIT, () -> {
			Truth.assertThat(entry.call("GET", "/metrics", Map.of(), "").body())
				.contains("burdock_queue_length{queue=\"quotes\"} " + count);
			return count;
		});
	}

}
