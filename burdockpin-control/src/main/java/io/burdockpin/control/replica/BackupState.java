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
 * State restored from the backup of a member's data folder. Applies all entries of the
 * log, because a follower may not yet know that an acknowledged entry is committed.
 * Immutable.
 */
public final class BackupState {

	/**
	 * Offset added to the log index of the backup. Prevents reuse of indexes that the
	 * lost cluster assigned after the backup, and makes running entry hosts accept the
	 * restored configuration as newer. At 1000 entries per second, the lost cluster needs
	 * 11 days to assign this many indexes.
	 */
	public static final long INDEX_GAP = 1_000_000_000;

	private final FleetSnapshot state;

	private final long lastIndex;

	private final long term;

	/**
	 * Applies the log of a backup.
	 * @param backup content of the backed-up files
	 */
	public BackupState(DurableState backup) {
		FleetStateMachine machine = new FleetStateMachine(new ThriftProposalCodec(), new ThriftFleetSnapshotCodec());
		machine.restore(backup.snapshot());
		for (LogEntry entry : backup.entries()) {
			if (entry.content() instanceof EntryContent.CommandContent command) {
				machine.apply(entry, command);
			}
			else {
				machine.markApplied(entry);
			}
		}
		this.state = machine.state().snapshot();
		this.lastIndex = machine.appliedIndex();
		this.term = Math.max(backup.term(), machine.appliedTerm());
	}

	/**
	 * Returns the last log index in the backup.
	 * @return the index, without {@link #INDEX_GAP}
	 */
	public long lastIndex() {
		return this.lastIndex;
	}

	/**
	 * Returns the latest term in the backup.
	 * @return the higher one of the stored term and the term of the last log entry
	 */
	public long term() {
		return this.term;
	}

	/**
	 * Returns the initial snapshot of the restored cluster.
	 * @param membership members of the restored cluster
	 * @return the state with its indexes raised by {@link #INDEX_GAP}
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
