package io.burdockpin.testbench.runner;

import java.util.Optional;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/** How a stand-in runner treats requests. */
public enum RunnerBehaviour {

	/** Echoes the body after the service time. */
	NORMAL,

	/** Takes ten times the service time. */
	SLOW {
		@Override
		long runMillis(RunRequest request, long serviceMillis) {
			return 10 * serviceMillis;
		}
	},

	/** Answers every second request with status 500. */
	FAILING {
		@Override
		Optional<HttpResponse> answer(RunRequest request, long number) {
			return (number % 2 == 0) ? Optional.of(failure(request)) : super.answer(request, number);
		}
	},

	/** Answers every request with status 500 and at once. */
	FAIL_EVERYTHING {
		@Override
		long runMillis(RunRequest request, long serviceMillis) {
			return 1;
		}

		@Override
		Optional<HttpResponse> answer(RunRequest request, long number) {
			return Optional.of(failure(request));
		}
	},

	/** Refuses every request before it starts. */
	REFUSE_EVERYTHING {
		@Override
		boolean starts() {
			return false;
		}
	},

	/** Declares the whole length and closes the connection after half of the body. */
	CUT_SHORT {
		@Override
		Optional<HttpResponse> answer(RunRequest request, long number) {
			ByteString half = request.body().take(request.body().size() / 2);
			return Optional.of(success(request).withEntity(HttpEntities.create(ContentTypes.APPLICATION_OCTET_STREAM,
					request.body().size(), Source.single(half))));
		}
	},

	/** Answers half a second after the deadline of the request. */
	DELAYED {
		@Override
		long runMillis(RunRequest request, long serviceMillis) {
			return request.deadlineMillis() + LATE_MILLIS;
		}

		@Override
		boolean stopsAtDeadline() {
			return false;
		}
	},

	/** Answers with the identifier of another attempt. */
	WRONG_ATTEMPT {
		@Override
		Optional<HttpResponse> answer(RunRequest request, long number) {
			RunRequest other = new RunRequest(request.attempt() + "0", request.requestId(), request.deadlineMillis(),
					request.ownDeadlineMillis(), request.body());
			return Optional.of(success(other));
		}
	},

	/** Runs requests and never answers them. */
	SILENT {
		@Override
		Optional<HttpResponse> answer(RunRequest request, long number) {
			return Optional.empty();
		}
	};

	private static final long LATE_MILLIS = 500;

	/**
	 * Tells whether requests are started at all.
	 * @return {@code false} if every request is refused
	 */
	boolean starts() {
		return true;
	}

	/**
	 * Tells whether work ends at the deadline of the request.
	 * @return {@code true} unless late answers are wanted
	 */
	boolean stopsAtDeadline() {
		return true;
	}

	/**
	 * Returns how long a request runs.
	 * @param request the request
	 * @param serviceMillis the configured service time
	 * @return the run time in milliseconds
	 */
	long runMillis(RunRequest request, long serviceMillis) {
		return serviceMillis;
	}

	/**
	 * Creates the answer to a request that has run.
	 * @param request the request
	 * @param number how many requests ended before it
	 * @return the answer, or nothing if none is sent
	 */
	Optional<HttpResponse> answer(RunRequest request, long number) {
		return Optional.of(success(request));
	}

	private static HttpResponse success(RunRequest request) {
		return HttpResponse.create()
			.addHeader(RawHeader.create("Burdock-Attempt", request.attempt()))
			.withEntity(HttpEntities.create(ContentTypes.APPLICATION_OCTET_STREAM, request.body()));
	}

	private static HttpResponse failure(RunRequest request) {
		return HttpResponse.create()
			.withStatus(500)
			.addHeader(RawHeader.create("Burdock-Attempt", request.attempt()))
			.withEntity("the stand-in runner was told to fail");
	}

}
