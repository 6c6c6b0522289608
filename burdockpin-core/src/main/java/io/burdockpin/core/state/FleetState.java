package io.burdockpin.core.state;

import java.util.List;
import java.util.Optional;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.util.Checks;

/**
 * The replicated state machine. Deterministic: time is taken from the proposals, never
 * from the clock of the replica, so the same log gives the same state. Mutable and owned
 * by one actor; all returned values are immutable.
 */
public final class FleetState {

	private final FleetTables tables;

	private final CommandHandlers handlers = new CommandHandlers();

	private long index;

	private long timeMillis;

	private long configurationIndex;

	private FleetState(FleetSnapshot snapshot) {
		this.tables = new FleetTables(snapshot);
		this.index = snapshot.index();
		this.timeMillis = snapshot.timeMillis();
		this.configurationIndex = snapshot.configuration().index();
		registerRules();
	}

	// life cycle

	/**
	 * Creates the state before the first log entry.
	 * @return the empty state
	 */
	public static FleetState empty() {
		return restore(FleetSnapshot.empty());
	}

	/**
	 * Creates a state from a snapshot.
	 * @param snapshot the snapshot, which is not modified
	 * @return a state equal to the one from which the snapshot was taken
	 */
	public static FleetState restore(FleetSnapshot snapshot) {
		return new FleetState(snapshot);
	}

	// changes

	/**
	 * Applies one committed log entry.
	 * @param index its log index, higher than that of all entries applied before
	 * @param proposal content of the entry
	 * @return the result; for a resend of an operator command, the stored first result
	 */
	public CommandResult apply(long index, Proposal proposal) {
		Checks.range("index", index, this.index + 1, Long.MAX_VALUE);
		this.index = index;
		this.timeMillis = Math.max(this.timeMillis, proposal.timeMillis());
		removeExpired();
		return this.tables.dedups.firstResult(proposal).orElseGet(() -> applyFirst(proposal));
	}

	// access

	/**
	 * Returns the complete state.
	 * @return an immutable copy
	 */
	public FleetSnapshot snapshot() {
		return new FleetSnapshot(this.index, this.timeMillis, configuration(), holders(), tokens(), claims(), jobs(),
				campaigns(), this.tables.dedups.list());
	}

	/**
	 * Returns the configuration with the index of its last change.
	 * @return an immutable copy
	 */
	public ConfigurationSnapshot configuration() {
		return new ConfigurationSnapshot(this.configurationIndex, pools(), hosts(), teams(), this.tables.keys.list(),
				this.tables.queues.list());
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
		return this.configurationIndex;
	}

	/**
	 * Returns all pools.
	 * @return the records, ordered by name
	 */
	public List<PoolRecord> pools() {
		return this.tables.pools.list();
	}

	/**
	 * Returns all hosts.
	 * @return the records, ordered by name
	 */
	public List<HostRecord> hosts() {
		return this.tables.hosts.list();
	}

	/**
	 * Returns all teams.
	 * @return the records, ordered by name
	 */
	public List<TeamRecord> teams() {
		return this.tables.teams.list();
	}

	/**
	 * Returns all registered incarnations of entry hosts.
	 * @return the records, ordered by host and incarnation
	 */
	public List<HolderRecord> holders() {
		return this.tables.holders.list();
	}

	/**
	 * Returns the tokens of all incarnations of entry hosts.
	 * @return the records, ordered by team and holder, without those of zero tokens
	 */
	public List<TokenRecord> tokens() {
		return this.tables.tokens.list();
	}

	/**
	 * Returns all claims.
	 * @return the records, ordered by the time in their request identifiers
	 */
	public List<ClaimRecord> claims() {
		return this.tables.claims.list();
	}

	/**
	 * Returns the claim on a request.
	 * @param key team and request identifier
	 * @return the claim, or empty if the request is not claimed
	 */
	public Optional<ClaimRecord> claim(ClaimKey key) {
		return this.tables.claims.find(key);
	}

	/**
	 * Returns all jobs.
	 * @return the records in the order of submission
	 */
	public List<JobRecord> jobs() {
		return this.tables.jobs.list();
	}

	/**
	 * Returns one job.
	 * @param job identifier of the job
	 * @return its record, or empty if the job is unknown or has expired
	 */
	public Optional<JobRecord> job(JobId job) {
		return this.tables.jobs.find(job);
	}

	/**
	 * Returns all campaigns.
	 * @return the records, ordered by name
	 */
	public List<CampaignRecord> campaigns() {
		return this.tables.campaigns.list();
	}

	// helpers

	private CommandResult applyFirst(Proposal proposal) {
		CommandContext context = new CommandContext(this.index, this.timeMillis, proposal.expectedVersion());
		CommandResult result = applyRules(proposal.command(), context);
		boolean changed = result instanceof CommandResult.Accepted accepted && accepted.version() == this.index;
		if (changed && proposal.command() instanceof ConfigurationCommand) {
			this.configurationIndex = this.index;
		}
		this.tables.dedups.record(proposal, this.timeMillis, result);
		return result;
	}

	private CommandResult applyRules(Command command, CommandContext context) {
		try {
			checkVersioned(command, context);
			return this.handlers.apply(command, context);
		}
		catch (CommandRejectedException ex) {
			return new CommandResult.Rejected(ex.getCode(), ex.getMessage());
		}
	}

	private static void checkVersioned(Command command, CommandContext context) {
		boolean versioned = command instanceof ConfigurationCommand || command instanceof MaintenanceCommand;
		CommandRejectedException.rejectIf(context.expectedVersion().isPresent() && !versioned, ErrorCode.BAD_REQUEST,
				"jobs, claims and tokens have no version");
	}

	private void removeExpired() {
		this.tables.claims.removeClaimsBefore(this.timeMillis - ClaimRules.RETENTION_MILLIS);
		this.tables.jobs.removeEndedBefore(this.timeMillis - JobRules.RETENTION_MILLIS);
		this.tables.dedups.removeExpired(this.timeMillis);
	}

	private void registerRules() {
		DrainCheck drainCheck = new DrainCheck(this.tables);
		LimitCheck limitCheck = new LimitCheck(this.tables);
		new PoolRules(this.tables).register(this.handlers);
		new HostRules(this.tables, drainCheck, new CampaignHostLists(this.tables)).register(this.handlers);
		new TeamRules(this.tables).register(this.handlers);
		new KeyRules(this.tables).register(this.handlers);
		new QueueRules(this.tables).register(this.handlers);
		new TokenRules(this.tables, limitCheck).register(this.handlers);
		new ClaimRules(this.tables).register(this.handlers);
		new JobRules(this.tables, limitCheck).register(this.handlers);
		new CampaignRules(this.tables, drainCheck).register(this.handlers);
	}

}
