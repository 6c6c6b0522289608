package io.burdockpin.runtime.http.socket;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import com.google.common.truth.Truth;
import io.burdockpin.runtime.socket.RejectionCause;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Reads random legal and illegal requests that arrive in random parts. Guards against
 * requests that depend on how the network splits them, and against parts that take more
 * memory than their bytes.
 */
class HttpRequestReaderTests {

	/** What one small block may waste, beside bytes that were received together. */
	private static final long BLOCK_BYTES = 512;

	private static final int FAULT_TRIES = 300;

	@Property(tries = 1_000, seed = "8340")
	void requestsAreReadOrRejectedTheSameWayHoweverTheyAreSplit(@ForAll long seed) {
		Truth.assertThat(violation(seed, InjectedFault.NONE)).isEmpty();
	}

	@ParameterizedTest
	@EnumSource(mode = EnumSource.Mode.EXCLUDE, names = "NONE")
	void theChecksDetectAnInjectedFault(InjectedFault fault) {
		Truth
			.assertThat(
					new SplittableRandom(1).longs(FAULT_TRIES).anyMatch((seed) -> violation(seed, fault).isPresent()))
			.isTrue();
	}

	@Test
	void eachIllegalRequestIsRejectedForItsCauseAtOnceAndByteByByte() {
		for (RequestStream.IllegalRequest illegal : RequestStream.IllegalRequest.values()) {
			RequestStream stream = new RequestStream(illegal.text().getBytes(StandardCharsets.ISO_8859_1), List.of(),
					Optional.of(illegal.cause()));
			Truth.assertWithMessage("%s", illegal)
				.that(read(stream, new SplittableRandom(1), Integer.MAX_VALUE, InjectedFault.NONE).rejection())
				.hasValue(illegal.cause());
			Truth.assertWithMessage("%s", illegal)
				.that(read(stream, new SplittableRandom(1), 1, InjectedFault.NONE).rejection())
				.hasValue(illegal.cause());
		}
	}

	/** Guards against a body that is copied again for each part that arrives. */
	@Test
	void aBodyInSinglePartsTakesAboutItsBytes() throws IOException {
		HttpRequestReader reader = new HttpRequestReader(MessageLimits.DEFAULT);
		reader.add(ByteString.fromString("POST / HTTP/1.1\r\nContent-Length: 200000\r\n\r\n"), 0);
		Truth.assertThat(reader.next()).isEmpty();
		for (int i = 1; i < 200_000; i++) {
			reader.add(ByteString.fromArray(new byte[] { 'x' }), 0);
			Truth.assertThat(reader.next()).isEmpty();
			Truth.assertThat(reader.retainedBytes()).isAtMost(2 * i + BLOCK_BYTES);
		}
		reader.add(ByteString.fromArray(new byte[] { 'x' }), 0);
		Truth.assertThat(reader.next().get().body()).hasLength(200_000);
		Truth.assertThat(reader.retainedBytes()).isEqualTo(0);
	}

	// Returns what is wrong; empty if nothing is.
	private static Optional<String> violation(long seed, InjectedFault fault) {
		RandomGenerator random = new SplittableRandom(seed);
		RequestStream stream = RequestStream.random(random);
		int largestPart = (random.nextInt(3) == 0) ? 3 : 1 + random.nextInt(stream.bytes().length + 1);
		Result result = read(stream, random, largestPart, fault);
		if (!result.bodies().equals(stream.bodies())) {
			return Optional.of("read %s instead of %s".formatted(result.bodies(), stream.bodies()));
		}
		if (!result.rejection().equals(stream.rejection())) {
			return Optional.of("rejected for %s instead of %s".formatted(result.rejection(), stream.rejection()));
		}
		long maximumBytes = 2L * (RequestStream.LIMITS.headBytes() + RequestStream.LIMITS.bodyBytes())
				+ 2L * Math.min(largestPart, stream.bytes().length) + 2 * BLOCK_BYTES;
		return (result.retainedBytes() > maximumBytes)
				? Optional.of("retained %d bytes, more than %d".formatted(result.retainedBytes(), maximumBytes))
				: Optional.empty();
	}

	private static Result read(RequestStream stream, RandomGenerator random, int largestPart, InjectedFault fault) {
		HttpRequestReader reader = new HttpRequestReader(fault.limits());
		List<String> bodies = new ArrayList<>();
		long retainedBytes = 0;
		int position = 0;
		try {
			while (position < stream.bytes().length) {
				int end = Math.min(stream.bytes().length, position + 1
						+ ((largestPart > 1) ? random.nextInt(Math.min(largestPart, stream.bytes().length)) : 0));
				byte[] part = fault.part(Arrays.copyOfRange(stream.bytes(), position, end));
				position = end;
				reader.add(ByteString.fromArray(part), 0);
				retainedBytes = Math.max(retainedBytes, reader.retainedBytes() + fault.leakedBytes(position));
				for (Optional<HttpServerRequest> next = reader.next(); next.isPresent(); next = fault.next(reader)) {
					bodies.add(new String(next.get().body(), StandardCharsets.ISO_8859_1));
				}
			}
			return new Result(bodies, Optional.empty(), retainedBytes);
		}
		catch (HttpMessageException ex) {
			return new Result(bodies, Optional.of(ex.rejectionCause()), retainedBytes);
		}
		catch (IOException ex) {
			return new Result(bodies, Optional.of(RejectionCause.MALFORMED), retainedBytes);
		}
	}

	private record Result(List<String> bodies, Optional<RejectionCause> rejection, long retainedBytes) {

	}

	/** A fault between the network and the requests that the checks have to find. */
	enum InjectedFault {

		NONE,

		/** The last byte of a part is lost. */
		LOST_BYTE {

			@Override
			byte[] part(byte[] received) {
				return Arrays.copyOf(received, received.length - 1);
			}

		},

		/** A part is handled twice. */
		REPEATED_PART {

			@Override
			byte[] part(byte[] received) {
				byte[] repeated = Arrays.copyOf(received, 2 * received.length);
				System.arraycopy(received, 0, repeated, received.length, received.length);
				return repeated;
			}

		},

		/** Only one request of a part is read, and none is read when nothing follows. */
		FORGOTTEN_PIPELINED_REQUEST {

			@Override
			Optional<HttpServerRequest> next(HttpRequestReader reader) {
				return Optional.empty();
			}

		},

		/** The limit of a body is not checked. */
		UNLIMITED_BODY {

			@Override
			MessageLimits limits() {
				return RequestStream.LIMITS.withBodyBytes(1_000_000);
			}

		},

		/** The limit of a header section is not checked. */
		UNLIMITED_HEADER_SECTION {

			@Override
			MessageLimits limits() {
				return new MessageLimits(100_000, 5, RequestStream.LIMITS.bodyBytes(),
						RequestStream.LIMITS.chunkOverheadBytes(), RequestStream.LIMITS.emptyLineBytes());
			}

		},

		/** The framing of chunks is not limited. */
		UNLIMITED_CHUNK_OVERHEAD {

			@Override
			MessageLimits limits() {
				return new MessageLimits(RequestStream.LIMITS.headBytes(), RequestStream.LIMITS.headFields(),
						RequestStream.LIMITS.bodyBytes(), 1_000_000, RequestStream.LIMITS.emptyLineBytes());
			}

		},

		/** Consumed bytes stay in memory. */
		RETAINED_BYTES {

			@Override
			long leakedBytes(int receivedBytes) {
				return receivedBytes;
			}

		};

		byte[] part(byte[] received) {
			return received;
		}

		Optional<HttpServerRequest> next(HttpRequestReader reader) throws IOException {
			return reader.next();
		}

		MessageLimits limits() {
			return RequestStream.LIMITS;
		}

		long leakedBytes(int receivedBytes) {
			return 0;
		}

	}

}
