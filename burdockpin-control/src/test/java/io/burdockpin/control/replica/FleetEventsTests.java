package io.burdockpin.control.replica;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import io.burdockpin.codec.thrift.impl.ThriftFleetSnapshotCodec;
import io.burdockpin.codec.thrift.impl.ThriftProposalCodec;
import io.burdockpin.core.consensus.EntryContent;
import io.burdockpin.core.consensus.LogEntry;
import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.Proposal;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.junit.jupiter.api.Test;

/** Guards against placements, limits and pools that are missing from the events. */
class FleetEventsTests {

	private static final JobId JOB = new JobId("j-1");

	private static final HostName WORKER = new HostName("w1");

	private static final PoolName POOL = new PoolName("p");

	private static final TeamName TEAM = new TeamName("t");

	private final FleetStateMachine machine = new FleetStateMachine(new ThriftProposalCodec(),
			new ThriftFleetSnapshotCodec());

	private final FleetEvents fleetEvents = new FleetEvents((kind) -> Event.of(kind, HybridTimestamp.ZERO));

	private final MetricRegistry registry = new MetricRegistry();

	private final ControlMetrics metrics = new ControlMetrics(this.registry);

	private final List<Event> leader = new ArrayList<>();

	private final List<Event> follower = new ArrayList<>();

	private long index;

	@Test
	void theLeaderRecordsPlacementAndEndOfAJobWithItsEpochAndEveryMemberPoolsAndLimits() {
		apply(new ConfigurationCommand.CreatePool(POOL, AvailabilityBudget.DEFAULT, false));
		apply(new ConfigurationCommand.CreateTeam(new TeamSpec(TEAM, 1, 5, 0)));
		apply(new ConfigurationCommand.AddHost(
				new HostSpec(WORKER, new DataCentre("dc1"), new Rack("r1"), new Resources(4000, 4096, 0)), POOL));
		apply(new JobCommand.SubmitJob(JOB,
				new JobSpec(TEAM, POOL, new Resources(100, 100, 0), 1000, false, true, Payload.EMPTY)));
		apply(new JobCommand.PlaceJob(JOB, WORKER, 1));
		apply(new JobCommand.PlaceJob(JOB, WORKER, 2));
		apply(new JobCommand.InterruptJob(JOB, 1, true, Payload.EMPTY));
		Truth.assertThat(kinds(this.follower))
			.containsExactly(EventKind.CONFIGURATION_APPLIED, EventKind.CONFIGURATION_APPLIED, EventKind.HOST_CHANGED)
			.inOrder();
		Truth.assertThat(this.follower.get(1).field(EventField.LIMIT)).hasValue("5");
		Truth.assertThat(this.follower.get(2).field(EventField.POOL)).hasValue("p");
		List<Event> jobs = this.leader.subList(3, this.leader.size());
		Truth.assertThat(kinds(jobs)).containsExactly(EventKind.JOB_PLACED, EventKind.JOB_INTERRUPTED).inOrder();
		for (Event event : jobs) {
			Truth.assertThat(event.field(EventField.LEASE_EPOCH)).hasValue("1");
			Truth.assertThat(event.field(EventField.HOST)).hasValue("w1");
			Truth.assertThat(event.field(EventField.TEAM)).hasValue("t");
		}
	}

	@Test
	void onlyAPlacementAfterTheJobHadStartedCountsAsAMove() {
		apply(new ConfigurationCommand.CreatePool(POOL, AvailabilityBudget.DEFAULT, false));
		apply(new ConfigurationCommand.CreateTeam(new TeamSpec(TEAM, 1, 5, 0)));
		apply(new ConfigurationCommand.AddHost(
				new HostSpec(WORKER, new DataCentre("dc1"), new Rack("r1"), new Resources(4000, 4096, 0)), POOL));
		apply(new JobCommand.SubmitJob(JOB,
				new JobSpec(TEAM, POOL, new Resources(100, 100, 0), 1000, false, true, Payload.EMPTY)));
		apply(new JobCommand.PlaceJob(JOB, WORKER, 1));
		apply(new JobCommand.InterruptJob(JOB, 1, true, Payload.EMPTY));
		apply(new JobCommand.PlaceJob(JOB, WORKER, 2));
		apply(new JobCommand.ConfirmStart(JOB, 2));
		apply(new JobCommand.InterruptJob(JOB, 2, false, Payload.EMPTY));
		apply(new JobCommand.PlaceJob(JOB, WORKER, 3));
		Truth.assertThat(new String(this.registry.exposition(), StandardCharsets.UTF_8))
			.contains("burdock_job_moves_total 1.0");
	}

	private void apply(Command command) {
		this.index++;
		Proposal proposal = new Proposal(1000, Optional.empty(), OptionalLong.empty(), command);
		EntryContent.CommandContent content = new EntryContent.CommandContent(this.machine.encode(proposal));
		AppliedCommand applied = this.machine.apply(new LogEntry(this.index, 1, content), content);
		this.metrics.countMoves(applied, this.machine.state());
		this.fleetEvents.of(applied, this.machine.state(), true).ifPresent(this.leader::add);
		this.fleetEvents.of(applied, this.machine.state(), false).ifPresent(this.follower::add);
	}

	private static List<EventKind> kinds(List<Event> events) {
		return events.stream().map(Event::kind).toList();
	}

}
