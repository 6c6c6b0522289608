package io.burdockpin.control.replica;

import java.util.Optional;
import java.util.function.Function;

import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.FleetState;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.MaintenanceCommand;

/**
 * Converts applied commands to events for the event log. Every member records events of
 * hosts, campaigns and limits, only the leader those of jobs. Immutable; used by the
 * replica actor.
 */
final class FleetEvents {

	private final Function<EventKind, Event> events;

	/**
	 * Creates the converter.
	 * @param events creates an event with the current time
	 */
	FleetEvents(Function<EventKind, Event> events) {
		this.events = events;
	}

	static Optional<JobId> jobOf(Command command) {
		if (command instanceof JobCommand.PlaceJob place) {
			return Optional.of(place.job());
		}
		if (command instanceof JobCommand.FinishJob finish) {
			return Optional.of(finish.job());
		}
		if (command instanceof JobCommand.InterruptJob interrupt) {
			return Optional.of(interrupt.job());
		}
		return Optional.empty();
	}

	/**
	 * Returns the event of an applied command.
	 * @param applied the command
	 * @param state the state after the command
	 * @param leads whether this member is the leader
	 * @return the event; empty for a command that changed nothing or is not recorded
	 */
	Optional<Event> of(AppliedCommand applied, FleetState state, boolean leads) {
		if (!applied.isChange()) {
			return Optional.empty();
		}
		Command command = applied.proposal().command();
		Optional<Event> event = Optional.empty();
		if (command instanceof ConfigurationCommand) {
			event = ofConfiguration(command, state);
		}
		else if (command instanceof MaintenanceCommand maintenance) {
			event = ofMaintenance(maintenance, state);
		}
		else if (leads) {
			event = jobOf(command).flatMap(state::job)
				.map((job) -> ofJob(command, job, applied.jobBefore().flatMap(JobRecord::worker)));
		}
		return event.map((found) -> found.with(EventField.INDEX, applied.index()));
	}

	// helpers

	private Optional<Event> ofConfiguration(Command command, FleetState state) {
		if (command instanceof ConfigurationCommand.CreateTeam create) {
			return Optional.of(ofTeam(create.team()));
		}
		if (command instanceof ConfigurationCommand.UpdateTeam update) {
			return Optional.of(ofTeam(update.team()));
		}
		if (command instanceof ConfigurationCommand.RemoveHost remove) {
			return Optional.of(this.events.apply(EventKind.HOST_CHANGED).with(EventField.HOST, remove.host()));
		}
		if (command instanceof ConfigurationCommand.AddHost add) {
			return ofHost(add.host().name(), state);
		}
		if (command instanceof ConfigurationCommand.MoveHost move) {
			return ofHost(move.host(), state);
		}
		if (command instanceof ConfigurationCommand.SetHostState set) {
			return ofHost(set.host(), state).map((event) -> event.with(EventField.DETAIL, set.cause()));
		}
		return Optional.of(this.events.apply(EventKind.CONFIGURATION_APPLIED));
	}

	private Optional<Event> ofMaintenance(MaintenanceCommand command, FleetState state) {
		if (command instanceof MaintenanceCommand.StartDrain drain) {
			return ofHost(drain.host(), state)
				.map((event) -> event.with(EventField.CAMPAIGN, drain.campaign()).with(EventField.COUNT, drain.wave()));
		}
		if (command instanceof MaintenanceCommand.CompleteHost complete) {
			return ofCampaign(complete.campaign(), state).map((event) -> event.with(EventField.HOST, complete.host()));
		}
		return campaignOf(command).flatMap((campaign) -> ofCampaign(campaign, state));
	}

	private static Optional<CampaignName> campaignOf(MaintenanceCommand command) {
		if (command instanceof MaintenanceCommand.StartCampaign start) {
			return Optional.of(start.campaign().name());
		}
		if (command instanceof MaintenanceCommand.PauseCampaign pause) {
			return Optional.of(pause.campaign());
		}
		if (command instanceof MaintenanceCommand.ResumeCampaign resume) {
			return Optional.of(resume.campaign());
		}
		if (command instanceof MaintenanceCommand.CancelCampaign cancel) {
			return Optional.of(cancel.campaign());
		}
		if (command instanceof MaintenanceCommand.CompleteCampaign complete) {
			return Optional.of(complete.campaign());
		}
		return Optional.empty();
	}

	private Event ofTeam(TeamSpec team) {
		return this.events.apply(EventKind.CONFIGURATION_APPLIED)
			.with(EventField.TEAM, team.name())
			.with(EventField.LIMIT, team.upperLimit());
	}

	private Optional<Event> ofHost(HostName name, FleetState state) {
		return state.hosts().stream().filter((host) -> host.name().equals(name)).findFirst().map(this::ofHost);
	}

	private Event ofHost(HostRecord host) {
		return this.events.apply(EventKind.HOST_CHANGED)
			.with(EventField.HOST, host.name())
			.with(EventField.POOL, host.pool())
			.with(EventField.STATE, host.state());
	}

	private Optional<Event> ofCampaign(CampaignName name, FleetState state) {
		return state.campaigns().stream().filter((campaign) -> campaign.name().equals(name)).findFirst().map(this::of);
	}

	private Event of(CampaignRecord campaign) {
		Event event = this.events.apply(EventKind.CAMPAIGN_CHANGED)
			.with(EventField.CAMPAIGN, campaign.name())
			.with(EventField.STATE, campaign.state());
		return campaign.reason().isEmpty() ? event : event.with(EventField.DETAIL, campaign.reason());
	}

	private Event ofJob(Command command, JobRecord job, Optional<HostName> workerBefore) {
		Event event = this.events.apply(kindOf(command))
			.with(EventField.JOB, job.id())
			.with(EventField.TEAM, job.spec().team())
			.with(EventField.POOL, job.spec().pool())
			.with(EventField.REPEATABLE, job.spec().repeatable())
			.with(EventField.LEASE_EPOCH, job.leaseEpoch())
			.with(EventField.STATE, job.state());
		Optional<HostName> worker = workerBefore.or(job::worker);
		return worker.map((host) -> event.with(EventField.HOST, host)).orElse(event);
	}

	private static EventKind kindOf(Command command) {
		if (command instanceof JobCommand.PlaceJob) {
			return EventKind.JOB_PLACED;
		}
		return (command instanceof JobCommand.FinishJob) ? EventKind.JOB_ENDED : EventKind.JOB_INTERRUPTED;
	}

}
