package io.burdockpin.codec;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import com.google.common.truth.Truth;
import io.burdockpin.codec.exc.CodecException;
import io.burdockpin.codec.json.OperatorJsonCodec;
import io.burdockpin.codec.sample.SampleValues;
import io.burdockpin.codec.thrift.generated.operator.Change;
import io.burdockpin.codec.thrift.generated.operator.OperatorService;
import io.burdockpin.codec.thrift.generated.state.Command;
import io.burdockpin.codec.thrift.generated.state.ConfigurationCommand;
import io.burdockpin.codec.thrift.generated.state.DeleteTeam;
import io.burdockpin.codec.thrift.impl.OperatorCall;
import io.burdockpin.codec.thrift.impl.ThriftOperatorCodec;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.client.QueryResult;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.junit.jupiter.api.Test;

/**
 * Guards against operator requests and replies that are altered by the Thrift or the JSON
 * encoding.
 */
class OperatorCodecTests {

	private static final int SAMPLES = 20;

	private final ThriftOperatorCodec thrift = new ThriftOperatorCodec();

	private final OperatorJsonCodec json = new OperatorJsonCodec();

	private final RandomGenerator random = new SplittableRandom(8002);

	private final SampleValues samples = new SampleValues(this.random);

	@Test
	void everyRequestIsDecodedFromThriftAsItWasEncoded() {
		for (OperatorRequest request : requests()) {
			OperatorCall call = this.thrift.decodeCall(this.thrift.encodeCall(17, request));
			Truth.assertThat(call.request()).isEqualTo(request);
			Truth.assertThat(call.sequence()).isEqualTo(17);
		}
	}

	@Test
	void everyRequestIsDecodedFromJsonAsItWasEncoded() {
		for (OperatorRequest request : requests()) {
			Truth.assertThat(this.json.decodeRequest(this.json.encodeRequest(request))).isEqualTo(request);
		}
	}

	@Test
	void everyReplyIsDecodedFromJsonAsItWasEncoded() {
		for (OperatorReply reply : replies()) {
			Truth.assertThat(this.json.decodeReply(this.json.encodeReply(reply))).isEqualTo(reply);
		}
	}

	@Test
	void everyMethodReturnsItsReplyAndItsFailureThroughThrift() {
		for (OperatorRequest request : requests()) {
			OperatorCall call = this.thrift.decodeCall(this.thrift.encodeCall(1, request));
			for (OperatorReply reply : List.of(replyTo(request), this.samples.draw(OperatorReply.Failed.class))) {
				Truth.assertThat(this.thrift.decodeReply(this.thrift.encodeReply(call, reply))).isEqualTo(reply);
			}
		}
	}

	@Test
	void aCallOfTheGeneratedClientIsDecoded() throws TException {
		TMemoryBuffer buffer = new TMemoryBuffer(64);
		OperatorService.Client client = new OperatorService.Client(new TBinaryProtocol(buffer));
		Change change = new Change("r-1",
				Command.configurationCommand(ConfigurationCommand.deleteTeam(new DeleteTeam("quillca"))));
		client.send_change(change);
		byte[] bytes = Arrays.copyOf(buffer.getArray(), buffer.length());
		OperatorRequest expected = new OperatorRequest.Change(new RequestId("r-1"), OptionalLong.empty(),
				new io.burdockpin.core.state.ConfigurationCommand.DeleteTeam(new TeamName("quillca")));
		Truth.assertThat(this.thrift.decodeCall(bytes).request()).isEqualTo(expected);
	}

	@Test
	void aJsonRequestMayOmitOptionalFields() {
		String text = """
				{"type": "change", "requestId": "r-1",
				 "command": {"type": "createQueue", "queue": "booking", "open": false}}""";
		OperatorRequest expected = new OperatorRequest.Change(new RequestId("r-1"), OptionalLong.empty(),
				new io.burdockpin.core.state.ConfigurationCommand.CreateQueue(new QueueName("booking"), false));
		Truth.assertThat(this.json.decodeRequest(text.getBytes(StandardCharsets.UTF_8))).isEqualTo(expected);
	}

	@Test
	void aJsonRequestMustNotOmitRequiredFields() {
		assertJsonFails("{\"type\": \"change\", \"requestId\": \"r-1\"}");
		assertJsonFails("{\"type\": \"change\", \"requestId\": \"r-1\", "
				+ "\"command\": {\"type\": \"createQueue\", \"queue\": \"booking\"}}");
		assertJsonFails("{\"type\": \"change\", \"requestId\": \"r-1\", "
				+ "\"command\": {\"type\": \"createPool\", \"pool\": \"office\", \"spare\": true}}");
		assertJsonFails("{\"type\": \"withdrawKey\", \"requestId\": null, \"keyHash\": \"00\"}");
		assertJsonFails("{\"type\": \"unheardOf\"}");
		assertJsonFails("");
	}

	@Test
	void aCommandThatOperatorsMustNotSendIsRejected() {
		assertJsonFails("{\"type\": \"change\", \"requestId\": \"r-1\", "
				+ "\"command\": {\"type\": \"placeJob\", \"job\": \"j\", \"worker\": \"w\", \"leaseEpoch\": 1}}");
	}

	@Test
	void damagedBytesCauseOnlyDecodeFailures() {
		for (int round = 0; round < 40; round++) {
			for (OperatorRequest request : requests()) {
				decodeDamaged(this.thrift.encodeCall(1, request), this.thrift::decodeCall);
				decodeDamaged(this.json.encodeRequest(request), this.json::decodeRequest);
			}
		}
	}

	private void assertJsonFails(String text) {
		Optional<ErrorCode> code = failureOf(() -> this.json.decodeRequest(text.getBytes(StandardCharsets.UTF_8)));
		Truth.assertThat(code).isEqualTo(Optional.of(ErrorCode.DECODE_FAILED));
	}

	private void decodeDamaged(byte[] bytes, Consumer<byte[]> decoder) {
		byte[] damaged = Arrays.copyOf(bytes, 1 + this.random.nextInt(bytes.length));
		damaged[this.random.nextInt(damaged.length)] = (byte) this.random.nextInt(256);
		Optional<ErrorCode> code = failureOf(() -> decoder.accept(damaged));
		Truth.assertThat(code.orElse(ErrorCode.DECODE_FAILED)).isEqualTo(ErrorCode.DECODE_FAILED);
	}

	private static Optional<ErrorCode> failureOf(Runnable decoding) {
		try {
			decoding.run();
			return Optional.empty();
		}
		catch (CodecException ex) {
			return Optional.of(ex.getCode());
		}
	}

	private List<OperatorRequest> requests() {
		List<OperatorRequest> requests = new ArrayList<>();
		for (Class<?> type : SampleValues.recordsOf(io.burdockpin.core.state.Command.class)) {
			addChange(requests, (io.burdockpin.core.state.Command) this.samples.draw(type));
		}
		for (Class<?> type : SampleValues.recordsOf(Query.class)) {
			requests.add(new OperatorRequest.Ask((Query) this.samples.draw(type)));
		}
		for (Class<?> type : OperatorRequest.class.getPermittedSubclasses()) {
			if (type != OperatorRequest.Change.class) {
				requests.add((OperatorRequest) this.samples.draw(type));
			}
		}
		return requests;
	}

	private void addChange(List<OperatorRequest> requests, io.burdockpin.core.state.Command command) {
		if (OperatorRequest.Change.permits(command)) {
			RequestId requestId = this.samples.draw(RequestId.class);
			requests.add(new OperatorRequest.Change(requestId, OptionalLong.empty(), command));
			requests.add(new OperatorRequest.Change(requestId, OptionalLong.of(7), command));
		}
	}

	private List<OperatorReply> replies() {
		List<OperatorReply> replies = new ArrayList<>();
		for (Class<?> type : OperatorReply.class.getPermittedSubclasses()) {
			for (int sample = 0; sample < SAMPLES; sample++) {
				replies.add((OperatorReply) this.samples.draw(type));
			}
		}
		for (Class<?> type : SampleValues.recordsOf(QueryResult.class)) {
			replies.add(new OperatorReply.Answered(1, true, (QueryResult) this.samples.draw(type)));
		}
		return replies;
	}

	private OperatorReply replyTo(OperatorRequest request) {
		if (request instanceof OperatorRequest.Ask) {
			return this.samples.draw(OperatorReply.Answered.class);
		}
		if (request instanceof OperatorRequest.WithdrawKey) {
			return this.samples.draw(OperatorReply.Withdrawn.class);
		}
		return this.samples.draw(OperatorReply.Changed.class);
	}

}
