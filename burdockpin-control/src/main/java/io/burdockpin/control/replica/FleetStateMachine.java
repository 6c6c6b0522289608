package io.burdockpin.control.replica;

import java.util.Optional;

import io.burdockpin.codec.io.FleetSnapshotCodec;
import io.burdockpin.codec.io.ProposalCodec;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.consensus.Snapshot;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.FleetState;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.Proposal;

/**
 * Applies encoded log entries and snapshots to the fleet state. Mutable; owned by the
 * replica actor.
 */
final class FleetStateMachine {

	private final ProposalCodec proposalCodec;

	private final FleetSnapshotCodec snapshotCodec;

	private FleetState state = FleetState.empty();

	private long appliedIndex;

	private long appliedTerm;

	FleetStateMachine(ProposalCodec proposalCodec, FleetSnapshotCodec snapshotCodec) {
		this.proposalCodec = proposalCodec;
		this.snapshotCodec = snapshotCodec;
	}

	// access

	FleetState state() {
		return this.state;
	}

	long appliedIndex() {
		return this.appliedIndex;
	}

	long appliedTerm() {
		return this.appliedTerm;
	}

	Payload encode(Proposal proposal) {
		return Payload.of(this.proposalCodec.encode(proposal));
	}

	Payload encodeState() {
		return Payload.of(this.snapshotCodec.encode(this.state.snapshot()));
	}

	// changes

	/**
	 * Marks an entry as applied without changing the fleet state.
	 * @param entry the entry
	 */
	void markApplied(LogEntry entry) {
		this.appliedIndex = entry.index();
		this.appliedTerm = entry.term();
	}

	AppliedCommand apply(LogEntry entry, EntryContent.CommandContent content) {
		markApplied(entry);
		Proposal proposal = this.proposalCodec.decode(content.payload().bytes());
		long previousIndex = this.state.configurationIndex();
		Optional<JobRecord> jobBefore = FleetEvents.jobOf(proposal.command()).flatMap(this.state::job);
		CommandResult result = this.state.apply(entry.index(), proposal);
		return new AppliedCommand(entry.index(), proposal, result, previousIndex, this.state.configurationIndex(),
				jobBefore);
	}

	void restore(Snapshot snapshot) {
		this.state = (snapshot.state().lengthBytes() == 0) ? FleetState.empty()
				: FleetState.restore(this.snapshotCodec.decode(snapshot.state().bytes()));
		this.appliedIndex = snapshot.index();
		this.appliedTerm = snapshot.term();
	}

}
