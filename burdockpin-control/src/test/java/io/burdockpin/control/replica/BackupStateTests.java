package io.burdockpin.control.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import io.burdockpin.codec.thrift.impl.ThriftFleetSnapshotCodec;
import io.burdockpin.codec.thrift.impl.ThriftProposalCodec;
import io.burdockpin.core.consensus.DurableState;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.MemberRole;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.Snapshot;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.FleetSnapshot;
import io.burdockpin.core.state.Proposal;
import org.junit.jupiter.api.Test;

/**
 * Guards against a restore that drops the end of the log or reuses log indexes.
 */
class BackupStateTests {

	private static final int QUEUES = 5;

	@Test
	void theWholeLogIsRestoredWithIndexesThatWereNeverAssigned() {
		Membership old = new Membership(List.of(member(1)));
		BackupState backup = new BackupState(
				new DurableState(member(1).id(), 4, Optional.empty(), Snapshot.initial(old), entries()));
		Membership restored = new Membership(List.of(member(9)));
		Snapshot snapshot = backup.toSnapshot(restored);
		FleetSnapshot state = new ThriftFleetSnapshotCodec().decode(snapshot.state().bytes());
		Truth.assertThat(backup.lastIndex()).isEqualTo(QUEUES);
		Truth.assertThat(backup.term()).isEqualTo(4);
		Truth.assertThat(state.configuration().queues()).hasSize(QUEUES);
		Truth.assertThat(snapshot.membership()).isEqualTo(restored);
		long index = QUEUES + BackupState.INDEX_GAP;
		Truth
			.assertThat(
					List.of(snapshot.index(), snapshot.membershipIndex(), state.index(), state.configuration().index()))
			.containsExactly(index, index, index, index);
	}

	private static List<LogEntry> entries() {
		List<LogEntry> entries = new ArrayList<>();
		for (int index = 1; index <= QUEUES; index++) {
			Proposal proposal = new Proposal(1000, Optional.empty(), OptionalLong.empty(),
					new ConfigurationCommand.CreateQueue(new QueueName("q-" + index), true));
			Payload payload = Payload.of(new ThriftProposalCodec().encode(proposal));
			entries.add(new LogEntry(index, 1, new EntryContent.CommandContent(payload)));
		}
		return entries;
	}

	private static Member member(long incarnation) {
		return new Member(new MemberId(new HostName("c1"), incarnation), MemberRole.VOTER, "127.0.0.1:1");
	}

}
