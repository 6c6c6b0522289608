package io.burdockpin.entry.http;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.json.RunnerAnnouncement;
import io.burdockpin.codec.json.RunnerAnnouncementReply;
import io.burdockpin.codec.json.WorkerAnnouncement;
import io.burdockpin.codec.json.WorkerAnnouncementReply;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.exc.InvalidValueException;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.routing.Runner;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.cfg.RunnerTlsPolicy;
import io.burdockpin.entry.router.RouterCommand;
import io.burdockpin.entry.worker.WorkerCommand;
import io.burdockpin.entry.worker.WorkerDocumentMapper;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Serves the announcements of runners, {@code POST /v1/upstreams/announce}, and of
 * workers, {@code POST /v1/workers/announce}.
 */
final class AnnounceEndpoint implements HttpEndpoint {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Limits the log, because a refused runner repeats its announcement every second. */
	private static final int WARNING_INTERVAL_SECONDS = 10;

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	private static final int MAX_RUNNER_BODY_BYTES = 16 * 1024;

	/**
	 * An announcement may contain results and checkpoints of many jobs, each up to 64 KiB
	 * before Base64 encoding.
	 */
	private static final int MAX_WORKER_BODY_BYTES = 4 * 1024 * 1024;

	private static final String ADDRESS_PATTERN = "[0-9a-fA-F.:\\[\\]]{2,47}:[0-9]{1,5}";

	private static final int MAX_PORT = 65_535;

	private final EntryActors actors;

	private final RequestBodyReader bodies;

	private final JsonBodyMapper json;

	private final ResponseFactory responses;

	private final EntryIdentity identity;

	private final long attachmentMillis;

	private final RunnerTlsPolicy tlsPolicy;

	AnnounceEndpoint(EntryActors actors, RequestBodyReader bodies, JsonBodyMapper json, ResponseFactory responses,
			EntryIdentity identity, long attachmentMillis, RunnerTlsPolicy tlsPolicy) {
		this.actors = actors;
		this.bodies = bodies;
		this.json = json;
		this.responses = responses;
		this.identity = identity;
		this.attachmentMillis = attachmentMillis;
		this.tlsPolicy = tlsPolicy;
	}

	@Override
	public Optional<CompletionStage<HttpResponse>> handle(HttpRequest request, List<String> segments) {
		if (!request.method().equals(HttpMethods.POST)) {
			return Optional.empty();
		}
		if (segments.equals(List.of("v1", "upstreams", "announce"))) {
			return Optional.of(this.bodies.read(request, MAX_RUNNER_BODY_BYTES).thenCompose(this::announceRunner));
		}
		if (segments.equals(List.of("v1", "workers", "announce"))) {
			return Optional.of(this.bodies.read(request, MAX_WORKER_BODY_BYTES).thenCompose(this::announceWorker));
		}
		return Optional.empty();
	}

	private CompletionStage<HttpResponse> announceRunner(byte[] body) {
		Runner runner = runner(this.json.read(body, RunnerAnnouncement.class));
		this.tlsPolicy.refusalReason(runner).ifPresent(AnnounceEndpoint::refuse);
		return this.actors
			.ask(this.actors.router(),
					(ActorRef<RouterCommand.Attached> replyTo) -> new RouterCommand.AnnounceRunner(runner, replyTo),
					TIMEOUT)
			.thenApply(
					(reply) -> this.responses.json(200, new RunnerAnnouncementReply(this.identity.self().host().value(),
							reply.attached(), this.attachmentMillis, reply.attachTo())));
	}

	private CompletionStage<HttpResponse> announceWorker(byte[] body) {
		WorkerAnnouncement announcement = this.json.read(body, WorkerAnnouncement.class);
		WorkerDocumentMapper.report(announcement);
		return this.actors
			.ask(this.actors.workers(),
					(ActorRef<WorkerAnnouncementReply> replyTo) -> new WorkerCommand.Announce(announcement, replyTo),
					TIMEOUT)
			.thenApply((reply) -> this.responses.json(200, reply));
	}

	private static Runner runner(RunnerAnnouncement document) {
		String address = document.address();
		if (address == null || !address.matches(ADDRESS_PATTERN) || port(address) > MAX_PORT) {
			throw new InvalidValueException("address is not a numeric IP address and port (ip:port)");
		}
		return new Runner(new RunnerName(document.runner()), new QueueName(document.queue()),
				new DataCentre(document.dataCentre()), address, document.tls(), document.slots(),
				document.connections(), document.epoch(), document.slotsInUse(), document.leaving(),
				document.clockMillis());
	}

	private static void refuse(String reason) {
		logger.atWarning()
			.atMostEvery(WARNING_INTERVAL_SECONDS, TimeUnit.SECONDS)
			.log("Refused an announcement: %s.", reason);
		throw new HttpRefusedException(ErrorCode.BAD_REQUEST, reason, null);
	}

	private static int port(String address) {
		return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
	}

}
