package io.burdockpin.batch.consensus;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;
import com.typesafe.config.ConfigFactory;
import io.burdockpin.batch.BatchDispatchers;
import io.burdockpin.codec.thrift.impl.ThriftEntryContentCodec;
import io.burdockpin.codec.thrift.impl.ThriftSnapshotCodec;
import io.burdockpin.control.storage.DiskFiles;
import io.burdockpin.control.storage.Identity;
import io.burdockpin.control.storage.MemberStorage;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.MemberRole;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.ReplicaSettings;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Payload;
import io.burdockpin.runtime.link.LinkSettings;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.DispatcherSelector;
import org.apache.pekko.actor.typed.Props;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A group of one member with a data folder on disk. */
class ConsensusSupervisorTests {

	private static final String SELF = "127.0.41.3";

	private static final Duration RECEIVE_LIMIT = Duration.ofSeconds(20);

	/** One thread stands for the few threads of a small host. */
	private final ActorTestKit testKit = ActorTestKit.create(
			ConfigFactory
				.parseString("pekko.actor.default-dispatcher { executor = thread-pool-executor\n"
						+ "thread-pool-executor.fixed-pool-size = 1 }")
				.withFallback(ConfigFactory.load()));

	private final CountDownLatch busyEnds = new CountDownLatch(1);

	private final BlockingQueue<ConsensusReport> reports = new LinkedBlockingQueue<>();

	@TempDir
	private Path folder;

	@AfterEach
	void stop() {
		this.busyEnds.countDown();
		this.testKit.shutdownTestKit();
	}

	/**
	 * A member answers a heartbeat once its earlier writes are synced. Guards against a
	 * report of a sync that waits behind the work for connections to runners: a leader
	 * whose members are all busy would lose contact with its majority.
	 */
	@Test
	void entriesAreCommittedWhileTheThreadsForConnectionsAreBusy() throws IOException, InterruptedException {
		ActorRef<ConsensusCommand> member = start();
		awaitElection();
		occupyThreadsForConnections();
		member.tell(new ConsensusCommand.Propose(1, Payload.ofText("command")));
		Truth.assertThat(isCommandCommitted()).isTrue();
	}

	private ActorRef<ConsensusCommand> start() throws IOException {
		MemberId self = new MemberId(new HostName(SELF), 1);
		MemberStorage storage = new MemberStorage(new DiskFiles(this.folder), new ThriftEntryContentCodec(),
				new ThriftSnapshotCodec());
		storage.format(new Identity("test", SELF, 1, true),
				new Membership(List.of(new Member(self, MemberRole.VOTER, ""))));
		ConsensusSettings settings = new ConsensusSettings("test", SELF, "dc1", freePort(), List.of(SELF), 1,
				ReplicaSettings.DEFAULT, LinkSettings.DEFAULT.withDispatcher(BatchDispatchers.CONSENSUS));
		ActorRef<ConsensusReport> stateOwner = this.testKit.spawn(stateOwner(), "state-owner",
				DispatcherSelector.fromConfig(BatchDispatchers.CALLS));
		TestProbe<ConsensusSupervisor.Report> owner = this.testKit.createTestProbe();
		this.testKit.spawn(ConsensusSupervisor.create(storage, settings, new MetricRegistry(), Clock.systemUTC(),
				new Random(1), stateOwner, owner.getRef()));
		return owner.expectMessageClass(ConsensusSupervisor.Started.class, RECEIVE_LIMIT).consensus();
	}

	private Behavior<ConsensusReport> stateOwner() {
		return Behaviors.receive(ConsensusReport.class).onAnyMessage((report) -> {
			this.reports.add(report);
			return Behaviors.same();
		}).build();
	}

	private void awaitElection() throws InterruptedException {
		Optional<ConsensusReport> report = nextReport();
		while (report.isPresent() && !(report.get() instanceof ConsensusReport.Committed)) {
			report = nextReport();
		}
		Truth.assertThat(report.isPresent()).isTrue();
	}

	private void occupyThreadsForConnections() throws InterruptedException {
		CountDownLatch busy = new CountDownLatch(1);
		ActorRef<String> work = this.testKit.spawn(Behaviors.receive(String.class).onAnyMessage((message) -> {
			busy.countDown();
			this.busyEnds.await();
			return Behaviors.same();
		}).build(), "work", Props.empty());
		work.tell("work");
		Truth.assertThat(busy.await(RECEIVE_LIMIT.toSeconds(), TimeUnit.SECONDS)).isTrue();
	}

	private boolean isCommandCommitted() throws InterruptedException {
		Optional<ConsensusReport> report = nextReport();
		while (report.isPresent()
				&& !(report.get() instanceof ConsensusReport.Committed committed && committed.entries()
					.stream()
					.anyMatch((entry) -> entry.content() instanceof EntryContent.CommandContent))) {
			report = nextReport();
		}
		return report.isPresent();
	}

	private Optional<ConsensusReport> nextReport() throws InterruptedException {
		return Optional.ofNullable(this.reports.poll(RECEIVE_LIMIT.toSeconds(), TimeUnit.SECONDS));
	}

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(SELF))) {
			return socket.getLocalPort();
		}
	}

}
