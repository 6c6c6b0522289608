package io.burdockpin.benchmark.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.core.model.JobId;
import io.burdockpin.core.placement.FleetView;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.CommandResult;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.FleetState;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.Proposal;

/**
 * The replicated state without replication: each command is applied at once. Mutable,
 * used by one thread.
 */
public final class Fleet {

	private final FleetState state = FleetState.empty();

	private final List<AppliedListener> listeners = new ArrayList<>();

	/**
	 * The state machine keeps ended jobs for a day, which would slow down every round.
	 */
	private final Map<JobId, JobRecord> openJobs = new LinkedHashMap<>();

	private long index;

	// life cycle

	/**
	 * Creates the pools, hosts and teams of a firm.
	 * @param firm the firm
	 * @return the fleet
	 */
	public static Fleet of(Firm firm) {
		Fleet fleet = new Fleet();
		fleet.apply(new ConfigurationCommand.CreatePool(Firm.SPARE_POOL, Firm.SPARE_BUDGET, true), 0);
		firm.pools().forEach((pool) -> fleet.apply(new ConfigurationCommand.CreatePool(pool, firm.budget(), false), 0));
		firm.hosts().forEach((host) -> fleet.apply(new ConfigurationCommand.AddHost(host.spec(), host.pool()), 0));
		firm.teams().forEach((team) -> fleet.apply(new ConfigurationCommand.CreateTeam(team), 0));
		return fleet;
	}

	/**
	 * Adds a listener that hears of every applied command.
	 * @param listener the listener
	 */
	public void addListener(AppliedListener listener) {
		this.listeners.add(listener);
	}

	// access

	/**
	 * Applies a command.
	 * @param command the command
	 * @param nowMillis the virtual time
	 * @return the result
	 */
	public CommandResult apply(Command command, long nowMillis) {
		this.index++;
		Proposal proposal = new Proposal(nowMillis, Optional.empty(), OptionalLong.empty(), command);
		CommandResult result = this.state.apply(this.index, proposal);
		if (result instanceof CommandResult.Accepted && command instanceof JobCommand jobCommand) {
			refresh(JobCommands.jobOf(jobCommand));
		}
		this.listeners.forEach((listener) -> listener.applied(command, result, nowMillis));
		return result;
	}

	/**
	 * Returns the records for a planning round.
	 * @return an immutable view
	 */
	public FleetView view() {
		return new FleetView(this.state.pools(), this.state.hosts(), this.state.teams(), openJobs(),
				this.state.tokens(), this.state.campaigns());
	}

	/**
	 * Returns the jobs that have not ended.
	 * @return their records, in the order of submission
	 */
	public List<JobRecord> openJobs() {
		return List.copyOf(this.openJobs.values());
	}

	/**
	 * Returns the state machine.
	 * @return the state machine, for reading
	 */
	public FleetState state() {
		return this.state;
	}

	// helpers

	private void refresh(JobId id) {
		Optional<JobRecord> open = this.state.job(id).filter((job) -> !job.state().ended());
		if (open.isPresent()) {
			this.openJobs.put(id, open.get());
		}
		else {
			this.openJobs.remove(id);
		}
	}

	/** Hears of applied commands. */
	@FunctionalInterface
	public interface AppliedListener {

		/**
		 * Takes one applied command.
		 * @param command the command
		 * @param result its result
		 * @param nowMillis the virtual time
		 */
		void applied(Command command, CommandResult result, long nowMillis);

	}

}
