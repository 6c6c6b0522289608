package io.burdockpin.entry.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;

import io.burdockpin.core.exc.ErrorCode;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.stream.Materializer;

/** Reads request bodies into memory, up to a maximum size. Immutable. */
final class RequestBodyReader {

	private static final long READ_TIMEOUT_MILLIS = 10_000;

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
			.withSizeLimit(maximumBytes)
			.toStrict(READ_TIMEOUT_MILLIS, this.materializer)
			.handle((entity, failure) -> {
				if (failure != null) {
					throw toRefusal(failure, maximumBytes);
				}
				return entity.getData().toArrayUnsafe();
			});
	}

	private static HttpRefusedException toRefusal(Throwable failure, int maximumBytes) {
		Throwable cause = (failure instanceof CompletionException && failure.getCause() != null) ? failure.getCause()
				: failure;
		if (cause instanceof EntityStreamSizeException) {
			return new HttpRefusedException(ErrorCode.BODY_TOO_LARGE,
					"the body is larger than %d bytes".formatted(maximumBytes), failure);
		}
		return new HttpRefusedException(ErrorCode.BAD_REQUEST, "the body is incomplete", failure);
	}

}
