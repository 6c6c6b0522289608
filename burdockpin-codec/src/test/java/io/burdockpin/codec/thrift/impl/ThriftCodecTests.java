package io.burdockpin.codec.thrift.impl;

import java.util.Arrays;
import java.util.Base64;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import io.burdockpin.codec.exc.CodecException;
import io.burdockpin.codec.sample.SampleValues;
import io.burdockpin.core.client.ClientEnvelope;
import io.burdockpin.core.client.ClientMessage;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.client.QueryResult;
import io.burdockpin.core.event.HybridTimestamp;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.state.Command;
import io.burdockpin.core.state.FleetSnapshot;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.Proposal;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against core types without an encoding, and against malformed bytes that make
 * the decoder fail in any way other than {@code DECODE_FAILED}.
 */
class ThriftCodecTests {

	private static final int SAMPLES = 20;

	/**
	 * Snapshot with one spare pool and one host, written by the last version without the
	 * home pool field.
	 */
	private static final String SNAPSHOT_WITHOUT_HOME_POOL = "FgQWDhwWBBkcGAZvZmZpY2UcFQAV0A8V0A8AERYCABkcHBgId29y"
			+ "a2VyLTEYBGRjLTEYBnJhY2stMRwV0A8V0A8VAAAAGAZvZmZpY2UVAhYEABkMGQwZDAAZDBkMGQwZDBkMGQwA";

	private final ThriftProposalCodec proposals = new ThriftProposalCodec();

	private final ThriftFleetSnapshotCodec snapshots = new ThriftFleetSnapshotCodec();

	private final ThriftClientCodec messages = new ThriftClientCodec();

	private final RandomGenerator random = new SplittableRandom(8001);

	private final SampleValues samples = new SampleValues(this.random);

	static Stream<Class<?>> commandTypes() {
		return SampleValues.recordsOf(Command.class).stream();
	}

	static Stream<Class<?>> messageTypes() {
		return SampleValues.recordsOf(ClientMessage.class).stream();
	}

	static Stream<Class<?>> queryTypes() {
		return SampleValues.recordsOf(Query.class).stream();
	}

	static Stream<Class<?>> queryResultTypes() {
		return SampleValues.recordsOf(QueryResult.class).stream();
	}

	@ParameterizedTest
	@MethodSource("commandTypes")
	void everyCommandIsDecodedAsItWasEncoded(Class<?> type) {
		for (int sample = 0; sample < SAMPLES; sample++) {
			Command command = (Command) this.samples.draw(type);
			Proposal proposal = new Proposal(7, Optional.empty(), OptionalLong.of(3), command);
			Truth.assertThat(this.proposals.decode(this.proposals.encode(proposal))).isEqualTo(proposal);
		}
	}

	@ParameterizedTest
	@MethodSource("messageTypes")
	void everyClientMessageIsDecodedAsItWasEncoded(Class<?> type) {
		for (int sample = 0; sample < SAMPLES; sample++) {
			ClientEnvelope envelope = envelope((ClientMessage) this.samples.draw(type));
			Truth.assertThat(this.messages.decode(this.messages.encode(envelope))).isEqualTo(envelope);
		}
	}

	@ParameterizedTest
	@MethodSource("queryTypes")
	void everyQueryIsDecodedAsItWasEncoded(Class<?> type) {
		ClientEnvelope envelope = envelope(new ClientMessage.QueryRequest(1, (Query) this.samples.draw(type)));
		Truth.assertThat(this.messages.decode(this.messages.encode(envelope))).isEqualTo(envelope);
	}

	@ParameterizedTest
	@MethodSource("queryResultTypes")
	void everyQueryResultIsDecodedAsItWasEncoded(Class<?> type) {
		QueryResult result = (QueryResult) this.samples.draw(type);
		ClientEnvelope envelope = envelope(new ClientMessage.QueryReply(1, 2, true, result));
		Truth.assertThat(this.messages.decode(this.messages.encode(envelope))).isEqualTo(envelope);
	}

	@Test
	void snapshotsAreDecodedAsTheyWereEncoded() {
		for (int sample = 0; sample < SAMPLES; sample++) {
			FleetSnapshot snapshot = this.samples.draw(FleetSnapshot.class);
			Truth.assertThat(this.snapshots.decode(this.snapshots.encode(snapshot))).isEqualTo(snapshot);
		}
	}

	@Test
	void modifiedOrTruncatedBytesCauseOnlyDecodeFailures() {
		for (int sample = 0; sample < 4000; sample++) {
			byte[] bytes = this.messages.encode(envelope(this.samples.draw(ClientMessage.class)));
			decodeDamaged(damage(bytes));
		}
	}

	@Test
	void bytesAfterTheEndAreRejected() {
		byte[] bytes = this.proposals.encode(this.samples.draw(Proposal.class));
		assertDecodeFails(Arrays.copyOf(bytes, bytes.length + 1));
	}

	@Test
	void anEmptyProposalIsRejected() {
		assertDecodeFails(new byte[0]);
	}

	/**
	 * Guards against failing to decode older snapshots and log entries, which lack a
	 * field that was added later.
	 */
	@Test
	void aSnapshotWithoutHomePoolsIsDecodedWithHostsThatAreNotLent() {
		FleetSnapshot snapshot = this.snapshots.decode(Base64.getDecoder().decode(SNAPSHOT_WITHOUT_HOME_POOL));
		HostRecord host = snapshot.configuration().hosts().get(0);
		Truth.assertThat(host.pool()).isEqualTo(new PoolName("office"));
		Truth.assertThat(host.homePool()).isEqualTo(Optional.empty());
	}

	@Test
	void deeplyNestedUnknownFieldsDoNotOverflowTheStack() {
		byte[] bytes = new byte[1024 * 1024];
		// Compact protocol header of a struct field with identifier delta 15, so that
		// each byte opens a further nested struct.
		Arrays.fill(bytes, (byte) 0xFC);
		assertDecodeFails(bytes);
	}

	private void assertDecodeFails(byte[] bytes) {
		Optional<ErrorCode> code = failureOf(() -> this.proposals.decode(bytes));
		Truth.assertThat(code).isEqualTo(Optional.of(ErrorCode.DECODE_FAILED));
	}

	private void decodeDamaged(byte[] bytes) {
		Optional<ErrorCode> code = failureOf(() -> this.messages.decode(bytes));
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

	private byte[] damage(byte[] bytes) {
		byte[] damaged = Arrays.copyOf(bytes, 1 + this.random.nextInt(bytes.length));
		for (int change = 0; change < 3; change++) {
			damaged[this.random.nextInt(damaged.length)] = (byte) this.random.nextInt(256);
		}
		return damaged;
	}

	private static ClientEnvelope envelope(ClientMessage message) {
		return new ClientEnvelope(new Holder(new HostName("entry-1"), 5), new HybridTimestamp(9, 1), message);
	}

}
