package io.burdockpin.control;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import io.burdockpin.codec.thrift.impl.ThriftEntryContentCodec;
import io.burdockpin.codec.thrift.impl.ThriftSnapshotCodec;
import io.burdockpin.control.storage.DiskFiles;
import io.burdockpin.control.storage.Identity;
import io.burdockpin.control.storage.MemberStorage;
import io.burdockpin.control.storage.StorageException;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.model.HostName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a member that starts with invalid settings or with the data folder of
 * another member.
 */
class ControlSettingsTests {

	private static final List<ControlSettings.MemberSettings> MEMBERS = List
		.of(new ControlSettings.MemberSettings("c1", "127.1.0.1:7001", Optional.empty()));

	@TempDir
	private Path folder;

	@Test
	void missingValuesGetTheirDefaults() {
		ControlSettings settings = settings("c1", MEMBERS, Optional.empty());
		Truth.assertThat(settings.toReplicaSettings().electionTimeoutMaximumMillis()).isEqualTo(1000);
		Truth.assertThat(settings.confirmationMillis()).isEqualTo(Optional.of(2000));
	}

	@Test
	void valuesOutOfRangeAreRejected() {
		Truth.assertThat(failureOf(() -> settings("c1", MEMBERS, Optional.of(5))))
			.isEqualTo(Optional.of(ErrorCode.BAD_REQUEST));
		Truth.assertThat(failureOf(() -> settings("c1", MEMBERS, Optional.of(400))))
			.isEqualTo(Optional.of(ErrorCode.BAD_REQUEST));
		Truth.assertThat(failureOf(() -> settings("c1", List.of(MEMBERS.get(0), MEMBERS.get(0)), Optional.empty())))
			.isEqualTo(Optional.of(ErrorCode.BAD_REQUEST));
		Truth.assertThat(failureOf(() -> new ControlSettings.MemberSettings("c1", "127.1.0.1", Optional.empty())))
			.isEqualTo(Optional.of(ErrorCode.BAD_REQUEST));
	}

	@Test
	void aFolderThatWasNotFormattedGetsARandomIncarnationWithoutMembers() {
		Identity generated = new IdentityCheck(settings("c1", MEMBERS, Optional.empty())).ensureIdentity(storage());
		Truth.assertThat(generated.formatted()).isFalse();
		Truth.assertThat(generated.incarnation()).isNotEqualTo(ControlSettings.FORMATTED_INCARNATION);
		Truth.assertThat(storage().load().snapshot().membership()).isEqualTo(Membership.EMPTY);
		Identity again = new IdentityCheck(settings("c1", MEMBERS, Optional.empty())).ensureIdentity(storage());
		Truth.assertThat(again).isEqualTo(generated);
	}

	@Test
	void theDataFolderOfAnotherMemberIsRejected() {
		storage().format(new Identity("test", "c1", 1, true), Membership.EMPTY);
		IdentityCheck check = new IdentityCheck(settings("c2", MEMBERS, Optional.empty()));
		Truth.assertThat(failureOf(() -> check.ensureIdentity(storage())))
			.isEqualTo(Optional.of(ErrorCode.STORAGE_FAILED));
	}

	@Test
	void aMemberOfARunningClusterIsNotFormatted() throws IOException {
		try (ServerSocket running = new ServerSocket(0, 1, InetAddress.getByName("127.2.0.1"))) {
			List<ControlSettings.MemberSettings> members = List.of(MEMBERS.get(0),
					new ControlSettings.MemberSettings("c2", "127.2.0.1:" + running.getLocalPort(), Optional.empty()));
			RunningMembersCheck check = new RunningMembersCheck(settings("c1", members, Optional.empty()));
			Truth.assertThat(failureOf(check::requireNoneRunning)).isEqualTo(Optional.of(ErrorCode.STORAGE_FAILED));
		}
	}

	@Test
	void theConnectAddressOfAMemberReplacesItsAdvertisedAddress() {
		ControlSettings settings = settings("c1",
				List.of(new ControlSettings.MemberSettings("c1", "127.1.0.1:7001", Optional.empty()),
						new ControlSettings.MemberSettings("c2", "127.2.0.1:7001", Optional.of("127.9.0.1:9001"))),
				Optional.empty());
		Truth.assertThat(settings.toConnectAddresses()).containsExactly(new HostName("c2"), "127.9.0.1:9001");
		Truth.assertThat(settings.toMembership().find(new HostName("c2")).get().address()).isEqualTo("127.2.0.1:7001");
	}

	private MemberStorage storage() {
		return new MemberStorage(new DiskFiles(this.folder), new ThriftEntryContentCodec(), new ThriftSnapshotCodec());
	}

	private ControlSettings settings(String host, List<ControlSettings.MemberSettings> members,
			Optional<Integer> heartbeatMillis) {
		return new ControlSettings("test", host, "dc1", this.folder.toString(), "127.1.0.1:7001", "127.1.0.1:7002",
				"127.1.0.1:7003", members, heartbeatMillis, Optional.empty(), Optional.empty(), Optional.empty(),
				Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(),
				Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty(),
				Optional.empty());
	}

	private static Optional<ErrorCode> failureOf(Runnable action) {
		try {
			action.run();
			return Optional.empty();
		}
		catch (InvalidValueException | StorageException ex) {
			return Optional.of(((BurdockException) ex).getCode());
		}
	}

}
