package io.burdockpin.entry.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

import io.burdockpin.core.exc.ErrorCode;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.stream.Materializer;
import org.apache.pekko.util.ByteString;

/** Reads request bodies into memory, up to a maximum size. Immutable. */
final class RequestBodyReader {

	private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

	/**
	 * How much of a body is received after its maximum size and dropped. A connection
	 * that is closed while its caller still sends is reset, which may lose the refusal.
	 */
	private static final long MAXIMUM_DISCARDED_BYTES = 8 * 1_024 * 1_024;

	private static final String EXPECT_HEADER = "Expect";

	private final Materializer materializer;

	RequestBodyReader(Materializer materializer) {
		this.materializer = materializer;
	}

	CompletionStage<byte[]> read(HttpRequest request, int maximumBytes) {
		if (request.entity() instanceof HttpEntity.Strict strict && strict.getData().size() <= maximumBytes) {
			// Avoids the thread switch that the library makes for each of its stages.
			return CompletableFuture.completedFuture(strict.getData().toArrayUnsafe());
		}
		return request.entity()
			.withSizeLimit(maximumBytes + discardedBytes(request))
			.getDataBytes()
			.completionTimeout(READ_TIMEOUT)
			.runFold(ByteString.emptyByteString(),
					(body, bytes) -> (body.length() > maximumBytes) ? body : body.concat(bytes), this.materializer)
			.handle((body, failure) -> {
				if (failure != null) {
					throw toRefusal(failure, maximumBytes);
				}
				if (body.length() > maximumBytes) {
					throw tooLarge(maximumBytes, null);
				}
				return body.toArrayUnsafe();
			});
	}

	// A caller that asks before it sends its body is refused before it does.
	private static long discardedBytes(HttpRequest request) {
		return request.getHeader(EXPECT_HEADER).isPresent() ? 0 : MAXIMUM_DISCARDED_BYTES;
	}

	private static HttpRefusedException toRefusal(Throwable failure, int maximumBytes) {
		Throwable cause = (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
				: failure;
		if (cause instanceof EntityStreamSizeException) {
			return tooLarge(maximumBytes, failure);
		}
		return new HttpRefusedException(ErrorCode.BAD_REQUEST, "the body is incomplete", failure);
	}

	private static HttpRefusedException tooLarge(int maximumBytes, Throwable cause) {
		return new HttpRefusedException(ErrorCode.BODY_TOO_LARGE,
				"the body is larger than %d bytes".formatted(maximumBytes), cause);
	}

}
