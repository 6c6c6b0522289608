package io.burdockpin.core.state;

import java.util.List;
import java.util.Optional;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.JobId;

/**
 * The replicated state machine. Deterministic: the same log gives the same state, because
 * time comes with each proposal. Mutable and owned by one actor; everything it returns is
 * immutable.
 */
public final class FleetState {

	private long index;

	private long timeMillis;

	private final FleetSnapshot restored;

	private FleetState(FleetSnapshot snapshot) {
		this.index = snapshot.index();
		this.timeMillis = snapshot.timeMillis();
		this.restored = snapshot;
	}

	/**
	 * Creates the state before the first log entry.
	 * @return the empty state
	 */
	public static FleetState empty() {
		return restore(FleetSnapshot.empty());
	}

	/**
	 * Creates a state from a snapshot.
	 * @param snapshot the snapshot
	 * @return the state, equal to the one the snapshot was taken of
	 */
	public static FleetState restore(FleetSnapshot snapshot) {
		return new FleetState(snapshot);
	}

	/**
	 * Applies one committed log entry.
	 * @param index its log index, higher than that of all entries applied before
	 * @param proposal its content
	 * @return the result
	 */
	public CommandResult apply(long index, Proposal proposal) {
		this.index = index;
		this.timeMillis = Math.max(this.timeMillis, proposal.timeMillis());
		return new CommandResult.Rejected(ErrorCode.INTERNAL, "the command has no effect yet");
	}

	/**
	 * Returns the whole state.
	 * @return an immutable copy
	 */
	public FleetSnapshot snapshot() {
		return new FleetSnapshot(this.index, this.timeMillis, configuration(), holders(), tokens(), claims(), jobs(),
				campaigns(), this.restored.dedups());
	}

	/**
	 * Returns the configuration with the index of its last change.
	 * @return an immutable copy
	 */
	public ConfigurationSnapshot configuration() {
		return this.restored.configuration();
	}

	/**
	 * Returns the index of the last applied entry.
	 * @return the log index, 0 before the first entry
	 */
	public long index() {
		return this.index;
	}

	/**
	 * Returns the time of the state machine.
	 * @return the largest proposal time seen, in milliseconds since the epoch
	 */
	public long timeMillis() {
		return this.timeMillis;
	}

	/**
	 * Returns the index of the last accepted configuration command.
	 * @return the log index, 0 before the first one
	 */
	public long configurationIndex() {
		return this.restored.configuration().index();
	}

	/**
	 * Returns all pools.
	 * @return the records by name
	 */
	public List<PoolRecord> pools() {
		return this.restored.configuration().pools();
	}

	/**
	 * Returns all hosts.
	 * @return the records by name
	 */
	public List<HostRecord> hosts() {
		return this.restored.configuration().hosts();
	}

	/**
	 * Returns all teams.
	 * @return the records by name
	 */
	public List<TeamRecord> teams() {
		return this.restored.configuration().teams();
	}

	/**
	 * Returns all registered lives of entry hosts.
	 * @return the records by host and incarnation
	 */
	public List<HolderRecord> holders() {
		return this.restored.holders();
	}

	/**
	 * Returns the tokens of all lives.
	 * @return the records by team and holder, without empty ones
	 */
	public List<TokenRecord> tokens() {
		return this.restored.tokens();
	}

	/**
	 * Returns all claims.
	 * @return the records in the order of their identifiers' times
	 */
	public List<ClaimRecord> claims() {
		return this.restored.claims();
	}

	/**
	 * Returns the claim on a request.
	 * @param key team and identifier
	 * @return the claim, or nothing if it is free
	 */
	public Optional<ClaimRecord> claim(ClaimKey key) {
		return claims().stream().filter((claim) -> ClaimKey.of(claim).equals(key)).findFirst();
	}

	/**
	 * Returns all jobs.
	 * @return the records in the order of submission
	 */
	public List<JobRecord> jobs() {
		return this.restored.jobs();
	}

	/**
	 * Returns one job.
	 * @param job the job
	 * @return its record, or nothing if it is unknown
	 */
	public Optional<JobRecord> job(JobId job) {
		return jobs().stream().filter((record) -> record.id().equals(job)).findFirst();
	}

	/**
	 * Returns all campaigns.
	 * @return the records by name
	 */
	public List<CampaignRecord> campaigns() {
		return this.restored.campaigns();
	}

}
