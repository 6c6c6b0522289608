package io.burdockpin.control.replica;

import io.burdockpin.codec.thrift.impl.ThriftFleetSnapshotCodec;
import io.burdockpin.codec.thrift.impl.ThriftProposalCodec;
import io.burdockpin.core.consensus.DurableState;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.Snapshot;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.FleetSnapshot;

/**
 * The state in the backup of a member's data folder. All entries of its log are applied,
 * because an entry that was acknowledged may not be known as committed to a follower.
 * Immutable.
 */
public final class BackupState {

	/**
	 * Added to the log index, so that indexes that the lost cluster gave out after the
	 * backup are not given out again and entry hosts that still run take the restored
	 * configuration for a newer one. 1000 entries a second reach it in 11 days.
	 */
	public static final long INDEX_GAP = 1_000_000_000;

	private final FleetSnapshot state;

	private final long lastIndex;

	private final long term;

	/**
	 * Applies the log of a backup.
	 * @param backup the content of its files
	 */
	public BackupState(DurableState backup) {
		FleetStateMachine machine = new FleetStateMachine(new ThriftProposalCodec(), new ThriftFleetSnapshotCodec());
		machine.restore(backup.snapshot());
		for (LogEntry entry : backup.entries()) {
			if (entry.content() instanceof EntryContent.CommandContent command) {
				machine.apply(entry, command);
			}
			else {
				machine.skip(entry);
			}
		}
		this.state = machine.state().snapshot();
		this.lastIndex = machine.appliedIndex();
		this.term = Math.max(backup.term(), machine.appliedTerm());
	}

	/**
	 * Returns the last log index in the backup.
	 * @return the index
	 */
	public long lastIndex() {
		return this.lastIndex;
	}

	/**
	 * Returns the newest term in the backup.
	 * @return the term
	 */
	public long term() {
		return this.term;
	}

	/**
	 * Returns what the members of the restored cluster start from.
	 * @param membership these members
	 * @return the snapshot
	 */
	public Snapshot toSnapshot(Membership membership) {
		long index = this.lastIndex + INDEX_GAP;
		ConfigurationSnapshot old = this.state.configuration();
		ConfigurationSnapshot configuration = new ConfigurationSnapshot(index, old.pools(), old.hosts(), old.teams(),
				old.keys(), old.queues());
		FleetSnapshot restored = new FleetSnapshot(index, this.state.timeMillis(), configuration, this.state.holders(),
				this.state.tokens(), this.state.claims(), this.state.jobs(), this.state.campaigns(),
				this.state.dedups());
		return new Snapshot(index, this.term, index, membership,
				Payload.of(new ThriftFleetSnapshotCodec().encode(restored)));
	}

}
