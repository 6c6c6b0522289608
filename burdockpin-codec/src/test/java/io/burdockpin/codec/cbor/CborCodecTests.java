package io.burdockpin.codec.cbor;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.cbor.databind.CBORMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.google.common.truth.Truth;
import io.burdockpin.codec.exc.CodecException;
import io.burdockpin.core.batch.call.CallMessage;
import io.burdockpin.core.batch.call.FleetCall;
import io.burdockpin.core.batch.call.FleetReply;
import io.burdockpin.core.batch.lead.place.Exclusion;
import io.burdockpin.core.batch.lead.place.PlacementExplanation;
import io.burdockpin.core.batch.lead.place.PlacementLimit;
import io.burdockpin.core.batch.lead.place.PlacementReason;
import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.DataCentreClosing;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.HostMove;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.QueueAddress;
import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.model.Workspace;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchSnapshot;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.CommandGroup;
import io.burdockpin.core.batch.state.MaintenancePhase;
import io.burdockpin.core.batch.state.MovePhase;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;
import org.junit.jupiter.api.Test;

class CborCodecTests {

	private static final RunnerKey RUNNER = new RunnerKey("runner", 12);

	private static final TaskId TASK = new TaskId("job", 0, 0, 1);

	private static final FleetConfiguration CONFIGURATION = new FleetConfiguration(3,
			List.of(new BatchQueue("queue", "host", "/queue/", false, "pool", 1, 2, 3_000, 600, 1.6)),
			List.of(new BatchPool("pool", false, true)),
			List.of(new Workspace("team", Set.of("key"), 4, new Resources(1, 2, 3))), Payload.ofText("{}"));

	private static final JobSpec JOB = new JobSpec("text",
			List.of(new StepSpec(2, new Resources(5, 6, 0), 700, List.of(), true, false, true, Optional.of("label"),
					Optional.empty(), OptionalInt.of(2), false, true, Optional.of("image"), OptionalInt.empty(), true,
					1)),
			3, 4, 5);

	private static final RunnerRecord RECORD = new RunnerRecord(RUNNER, Optional.of("m1"), "pool", "127.0.0.1:1", "dc",
			Optional.empty(), new Resources(8, 9, 1), Set.of("a"), true);

	/**
	 * One command of each type; {@code everyCommandIsDecodedAsItWasEncoded} fails if a
	 * type is missing here.
	 */
	private static final List<BatchCommand> COMMANDS = List.of(new BatchCommand.SetConfiguration(CONFIGURATION),
			new BatchCommand.SubmitJob("job", "queue", "team", JOB, Optional.of(new QueueAddress("host", "/queue/"))),
			new BatchCommand.CancelJob("job"), new BatchCommand.OpenOccurrence("job", 0),
			new BatchCommand.AssignRuns(List.of(new BatchCommand.Assignment(TASK, 1, RUNNER))),
			new BatchCommand.NoteEnds(RUNNER, List.of(new BatchCommand.End(7, TASK, 1, RunOutcome.DONE, "saved")),
					List.of("job")),
			new BatchCommand.ReleaseRuns(List.of(new BatchCommand.Release(TASK, 1, ""))),
			new BatchCommand.RegisterRunner(RECORD, OptionalLong.of(1)), new BatchCommand.RemoveRunner(RUNNER),
			new BatchCommand.StartWave(new MaintenanceWave(1, List.of("m1"), 1_000, 1, 2_000)),
			new BatchCommand.SetUpkeep(1, "m1", MaintenancePhase.ORDERED),
			new BatchCommand.SetMove("m2", "pool", MovePhase.ORDERED),
			new BatchCommand.CloseDataCentre("dc", "operator"), new BatchCommand.OpenDataCentre("dc2", "operator"));

	@Test
	void everyCommandIsDecodedAsItWasEncoded() {
		CborCommandGroupCodec codec = new CborCommandGroupCodec();
		CommandGroup group = new CommandGroup(99, COMMANDS);
		Truth.assertThat(codec.decode(codec.encode(group))).isEqualTo(group);
		Truth.assertThat(COMMANDS.stream().map(Object::getClass).distinct().count())
			.isEqualTo(BatchCommand.class.getPermittedSubclasses().length);
	}

	/** Guards against a member that cannot read its log after an upgrade. */
	@Test
	void anEarlierCommandAboutEndsHasNoStarts() throws IOException {
		Map<String, Object> ends = Map.of("type", "NoteEnds", "runner", RUNNER, "ends", List.of());
		byte[] encoded = BatchCborMapper.INSTANCE.writeValueAsBytes(Map.of("atMillis", 99, "commands", List.of(ends)));
		Truth.assertThat(new CborCommandGroupCodec().decode(encoded))
			.isEqualTo(new CommandGroup(99, List.of(new BatchCommand.NoteEnds(RUNNER, List.of(), List.of()))));
	}

	/** Guards against a member that cannot read its log after an upgrade. */
	@Test
	void anEarlierRegistrationHasNoSequenceNumber() throws IOException {
		Map<String, Object> registration = Map.of("type", "RegisterRunner", "runner", RECORD);
		byte[] encoded = BatchCborMapper.INSTANCE
			.writeValueAsBytes(Map.of("atMillis", 99, "commands", List.of(registration)));
		Truth.assertThat(new CborCommandGroupCodec().decode(encoded))
			.isEqualTo(new CommandGroup(99, List.of(new BatchCommand.RegisterRunner(RECORD, OptionalLong.empty()))));
	}

	/** Guards against a member that cannot read its log after an upgrade. */
	@Test
	void anEarlierSubmissionHasNoAddress() throws IOException {
		Map<String, Object> submission = Map.of("type", "SubmitJob", "id", "job", "queue", "queue", "workspace", "team",
				"spec", JOB);
		byte[] encoded = BatchCborMapper.INSTANCE
			.writeValueAsBytes(Map.of("atMillis", 99, "commands", List.of(submission)));
		Truth.assertThat(new CborCommandGroupCodec().decode(encoded))
			.isEqualTo(new CommandGroup(99,
					List.of(new BatchCommand.SubmitJob("job", "queue", "team", JOB, Optional.empty()))));
	}

	/** Guards against a member that cannot read its snapshot after an upgrade. */
	@Test
	void anEarlierSnapshotHasNeitherSequenceNumbersNorAddresses() throws IOException {
		BatchState state = new BatchState();
		state.apply(new CommandGroup(99, COMMANDS.subList(0, 2)));
		state.apply(new CommandGroup(100, COMMANDS.subList(7, 8)));
		ObjectNode encoded = (ObjectNode) BatchCborMapper.INSTANCE
			.readTree(new CborBatchSnapshotCodec().encode(state.snapshot()));
		encoded.remove(List.of("registeredSequences", "retiredQueues"));
		encoded.get("jobs").forEach((job) -> ((ObjectNode) job).remove("address"));
		BatchSnapshot decoded = new CborBatchSnapshotCodec()
			.decode(BatchCborMapper.INSTANCE.writeValueAsBytes(encoded));
		Truth.assertThat(decoded.registeredSequences()).isEmpty();
		Truth.assertThat(decoded.retiredQueues()).isEmpty();
		Truth.assertThat(decoded.jobs().get(0).address()).isEmpty();
		BatchState restored = BatchState.restore(decoded);
		Truth.assertThat(restored.runner(RUNNER)).hasValue(RECORD);
		Truth.assertThat(restored.job("job").orElseThrow().address()).hasValue(new QueueAddress("host", "/queue/"));
	}

	@Test
	void aSnapshotIsDecodedAsItWasEncoded() {
		BatchState state = new BatchState();
		state.apply(new CommandGroup(99, COMMANDS.subList(0, 2)));
		state.apply(new CommandGroup(100, COMMANDS.subList(7, 8)));
		state.apply(new CommandGroup(101, COMMANDS.subList(3, 5)));
		state.apply(new CommandGroup(102, COMMANDS.subList(9, 14)));
		BatchSnapshot snapshot = state.snapshot();
		CborBatchSnapshotCodec codec = new CborBatchSnapshotCodec();
		Truth.assertThat(codec.decode(codec.encode(snapshot))).isEqualTo(snapshot);
		Truth.assertThat(snapshot.moves()).containsExactly(new HostMove("m2", "pool", false, Optional.empty()));
		Truth.assertThat(snapshot.waves().get(0).hosts()).isEqualTo(Map.of("m1", MaintenancePhase.ORDERED));
		Truth.assertThat(snapshot.closedDataCentres()).containsExactly(new DataCentreClosing("dc", 102, "operator"));
	}

	/** Guards against a member that cannot read its snapshot after an upgrade. */
	@Test
	void anEarlierSnapshotHasNoClosedDataCentre() throws IOException {
		BatchState state = new BatchState();
		state.apply(new CommandGroup(102, COMMANDS.subList(12, 13)));
		ObjectNode encoded = (ObjectNode) BatchCborMapper.INSTANCE
			.readTree(new CborBatchSnapshotCodec().encode(state.snapshot()));
		Truth.assertThat(encoded.remove("closedDataCentres")).isNotNull();
		BatchSnapshot decoded = new CborBatchSnapshotCodec()
			.decode(BatchCborMapper.INSTANCE.writeValueAsBytes(encoded));
		Truth.assertThat(BatchState.restore(decoded).isClosed("dc")).isFalse();
	}

	/**
	 * Shows what a member does with a command of a later version, such as the closing of
	 * a data centre: it does not skip the command, which would let its state differ from
	 * that of the others without a sign.
	 */
	@Test
	void aCommandOfALaterVersionIsNotSkipped() throws IOException {
		Map<String, Object> later = Map.of("type", "CommandOfALaterVersion", "dataCentre", "dc");
		byte[] encoded = BatchCborMapper.INSTANCE.writeValueAsBytes(Map.of("atMillis", 99, "commands", List.of(later)));
		Truth.assertThat(failure(() -> new CborCommandGroupCodec().decode(encoded))).isPresent();
	}

	/**
	 * Shows what a member that restores a snapshot of a later version loses: it reads the
	 * snapshot without the components that it does not know.
	 */
	@Test
	void aSnapshotOfALaterVersionIsReadWithoutItsNewComponents() throws IOException {
		ObjectNode encoded = (ObjectNode) BatchCborMapper.INSTANCE
			.readTree(new CborBatchSnapshotCodec().encode(new BatchState().snapshot()));
		encoded.putArray("componentOfALaterVersion").add("dc");
		byte[] bytes = BatchCborMapper.INSTANCE.writeValueAsBytes(encoded);
		Truth.assertThat(new CborBatchSnapshotCodec().decode(bytes)).isEqualTo(new BatchState().snapshot());
	}

	private static final PlacementExplanation EXPLANATION = new PlacementExplanation("job", true, "QUEUED",
			Optional.of(new QueueAddress("host", "/queue/")), "pool", 1, "team", Optional.empty(), Optional.empty(),
			List.of(new PlacementExplanation.Step(0, 1, PlacementExplanation.StepState.WAITING, Optional.of(3),
					Optional.of(PlacementLimit.WORKSPACE_LIMIT), Optional.of(PlacementReason.WAITS), 200,
					List.of(new PlacementExplanation.Place(0, "r1", "rack")),
					List.of(new PlacementExplanation.Considered("r2", "", 500, Optional.of(Exclusion.NO_CAPACITY))))),
			7, 30, "10.0.0.1");

	@Test
	void callsAndRepliesAreDecodedAsTheyWereEncoded() {
		CborCallCodec codec = new CborCallCodec();
		List<FleetCall> calls = List.of(new FleetCall.Submit("host", "/queue/job", Optional.of("key"), JOB),
				new FleetCall.Look("host", "/queue/", Optional.empty()),
				new FleetCall.Cancel("host", "/queue/job", Optional.empty()),
				new FleetCall.PutConfiguration(CONFIGURATION), new FleetCall.ReadConfiguration(),
				new FleetCall.Announce(RECORD, 4), new FleetCall.Leave("runner"),
				new FleetCall.OrderWave(new MaintenanceWave(1, List.of("m1"), 1_000, 1, 2_000)),
				new FleetCall.LookAtWave(1), new FleetCall.Join("10.0.0.1", 5, "10.0.0.1:7", Optional.of("dc1")),
				new FleetCall.ExplainPlacement(Optional.of("job"), Optional.empty()),
				new FleetCall.ExplainPlacement(Optional.empty(),
						Optional.of(new FleetCall.Submit("host", "/queue/job", Optional.empty(), JOB))),
				new FleetCall.Check(), new FleetCall.CloseDataCentre("dc", "operator"),
				new FleetCall.OpenDataCentre("dc", "operator"), new FleetCall.LookAtDataCentres());
		calls.forEach((call) -> {
			CallMessage message = new CallMessage.Call(1, call);
			Truth.assertThat(codec.decode(codec.encode(message))).isEqualTo(message);
		});
		List<FleetReply> replies = List.of(new FleetReply.Accepted(), new FleetReply.JobStatus(BatchJobPhase.FAILED),
				new FleetReply.QueueStatus(4), new FleetReply.Configuration(Payload.ofText("{}")),
				new FleetReply.WaveStatus(true), new FleetReply.Placement(EXPLANATION),
				new FleetReply.Refused(FleetReply.Reason.NO_LEADER, Optional.of(1_000)),
				new FleetReply.Refused(FleetReply.Reason.INVALID, Optional.empty()),
				new FleetReply.Refused(FleetReply.Reason.OVERLOADED, Optional.of(4_000)),
				new FleetReply.NotLeader(Optional.empty(), List.of("10.0.0.1")),
				new FleetReply.Leads(List.of("10.0.0.1")), new FleetReply.Unknown(),
				new FleetReply.DataCentres(List.of(new FleetReply.DataCentreStatus("dc",
						Optional.of(new DataCentreClosing("dc", 3, "operator")), 1, 2),
						new FleetReply.DataCentreStatus("dc2", Optional.empty(), 0, 0))));
		replies.forEach((reply) -> {
			CallMessage message = new CallMessage.Reply(2, reply);
			Truth.assertThat(codec.decode(codec.encode(message))).isEqualTo(message);
		});
	}

	/**
	 * Guards against entry hosts of the previous release that fail on a new reason. That
	 * release reads the record without a deserializer of its own.
	 */
	@Test
	void anOverloadIsReadByThePreviousReleaseAsARefusalWithARetryDelay() throws IOException {
		FleetReply overloaded = new FleetReply.Refused(FleetReply.Reason.OVERLOADED, Optional.of(4_000));
		JsonNode fields = new CBORMapper().readTree(new CborCallCodec().encode(new CallMessage.Reply(2, overloaded)))
			.path("reply");
		CBORMapper previous = CBORMapper.builder()
			.addModule(new Jdk8Module())
			.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
			.build();
		Truth.assertThat(fields.path("type").asText()).isEqualTo("Refused");
		Truth.assertThat(previous.treeToValue(fields, FleetReply.Refused.class))
			.isEqualTo(new FleetReply.Refused(FleetReply.Reason.NO_CONFIGURATION, Optional.of(4_000)));
	}

	/** Guards against a reason of a later release that breaks the link. */
	@Test
	void anExactReasonOfALaterReleaseIsReplacedByTheKnownOne() throws IOException {
		byte[] encoded = BatchCborMapper.INSTANCE.writeValueAsBytes(Map.of("type", "Reply", "correlation", 1, "reply",
				Map.of("type", "Refused", "reason", "NO_LEADER", "exactReason", "LATER")));
		Truth.assertThat(new CborCallCodec().decode(encoded))
			.isEqualTo(new CallMessage.Reply(1, new FleetReply.Refused(FleetReply.Reason.NO_LEADER, Optional.empty())));
	}

	@Test
	void aRequestToJoinOfAnotherVersionIsRead() throws IOException {
		Map<String, Object> join = new LinkedHashMap<>();
		join.put("type", "Join");
		join.put("host", "10.0.0.1");
		join.put("incarnation", 5);
		join.put("address", "10.0.0.1:7");
		join.put("componentOfALaterVersion", 1);
		byte[] encoded = BatchCborMapper.INSTANCE
			.writeValueAsBytes(Map.of("type", "Call", "correlation", 1, "call", join));
		Truth.assertThat(new CborCallCodec().decode(encoded))
			.isEqualTo(new CallMessage.Call(1, new FleetCall.Join("10.0.0.1", 5, "10.0.0.1:7", Optional.empty())));
	}

	@Test
	void bytesThatAreNoMessageAreRejected() {
		CborCallCodec codec = new CborCallCodec();
		Truth.assertThat(failure(() -> codec.decode(new byte[] { 1, 2, 3 }))).isPresent();
		Truth.assertThat(failure(() -> codec.decode(new byte[0]))).isPresent();
	}

	private static Optional<CodecException> failure(Runnable action) {
		try {
			action.run();
			return Optional.empty();
		}
		catch (CodecException ex) {
			return Optional.of(ex);
		}
	}

}
