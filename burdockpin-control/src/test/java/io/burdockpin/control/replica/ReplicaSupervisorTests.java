package io.burdockpin.control.replica;

import java.nio.file.Path;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Random;

import com.google.common.truth.Truth;
import io.burdockpin.codec.io.EntryContentCodec;
import io.burdockpin.codec.thrift.impl.ThriftEntryContentCodec;
import io.burdockpin.codec.thrift.impl.ThriftSnapshotCodec;
import io.burdockpin.control.storage.DiskFiles;
import io.burdockpin.control.storage.Identity;
import io.burdockpin.control.storage.MemberStorage;
import io.burdockpin.control.storage.StorageException;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.MemberRole;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.ReplicaSettings;
import io.burdockpin.core.model.HostName;
import io.burdockpin.runtime.event.EventLog;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.testkit.typed.javadsl.ActorTestKit;
import org.apache.pekko.actor.testkit.typed.javadsl.TestProbe;
import org.apache.pekko.actor.typed.ActorRef;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a member that continues after a storage failure or with incomplete
 * files.
 */
class ReplicaSupervisorTests {

	/** Only limits the duration of a hanging test. */
	private static final Duration TEST_TIMEOUT = Duration.ofSeconds(120);

	private static final Membership MEMBERSHIP = new Membership(
			List.of(new Member(new MemberId(new HostName("c1"), 1), MemberRole.VOTER, "")));

	private final ActorTestKit testKit = ActorTestKit.create();

	@TempDir
	private Path folder;

	@AfterEach
	void stop() {
		this.testKit.shutdownTestKit();
	}

	@Test
	void theReplicaStartsFromAFormattedFolder() {
		MemberStorage storage = storage(new DiskFiles(this.folder));
		storage.format(new Identity("test", "c1", 1, true), MEMBERSHIP);
		Truth.assertThat(firstReport(storage)).isInstanceOf(ReplicaSupervisor.Started.class);
	}

	@Test
	void aFolderWithoutItsVoteEndsTheProgram() {
		DiskFiles files = new DiskFiles(this.folder);
		storage(files).format(new Identity("test", "c1", 1, true), MEMBERSHIP);
		files.delete("vote");
		Truth.assertThat(firstReport(storage(files))).isInstanceOf(ReplicaSupervisor.Failed.class);
	}

	@Test
	void aWriteThatFailsLaterEndsTheProgram() {
		DiskFiles files = new DiskFiles(this.folder);
		MemberStorage storage = new MemberStorage(files, (FailingCodec) (content) -> {
			throw StorageException.failed("cannot write", null);
		}, new ThriftSnapshotCodec());
		storage.format(new Identity("test", "c1", 1, true), MEMBERSHIP);
		TestProbe<ReplicaSupervisor.Report> owner = this.testKit.createTestProbe();
		spawn(storage, owner.getRef());
		Truth.assertThat(owner.receiveMessage(TEST_TIMEOUT)).isInstanceOf(ReplicaSupervisor.Started.class);
		Truth.assertThat(owner.receiveMessage(TEST_TIMEOUT)).isInstanceOf(ReplicaSupervisor.Failed.class);
	}

	private ReplicaSupervisor.Report firstReport(MemberStorage storage) {
		TestProbe<ReplicaSupervisor.Report> owner = this.testKit.createTestProbe();
		spawn(storage, owner.getRef());
		return owner.receiveMessage(TEST_TIMEOUT);
	}

	private void spawn(MemberStorage storage, ActorRef<ReplicaSupervisor.Report> owner) {
		ActorRef<EventLog.Command> eventLog = this.testKit.<EventLog.Command>createTestProbe().getRef();
		this.testKit
			.spawn(ReplicaSupervisor.create(storage, ReplicaSettings.DEFAULT, new ReplicaActorSettings("test", 2000),
					eventLog, new MetricRegistry(), Clock.systemUTC(), new Random(1), owner));
	}

	private static MemberStorage storage(DiskFiles files) {
		return new MemberStorage(files, new ThriftEntryContentCodec(), new ThriftSnapshotCodec());
	}

	/** Fails when the first entry of a leader is written. */
	@FunctionalInterface
	private interface FailingCodec extends EntryContentCodec {

		@Override
		default EntryContent decode(byte[] bytes) {
			throw new UnsupportedOperationException();
		}

	}

}
