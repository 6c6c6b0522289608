package io.burdockpin.testbench.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;
import org.apache.pekko.actor.typed.javadsl.TimerScheduler;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

/**
 * Owns a load run: sends what is due every few milliseconds and ends after a number of
 * requests or a time, whichever comes first.
 */
final class LoadActor extends AbstractBehavior<LoadActor.Command> {

	private static final Duration STEP = Duration.ofMillis(5);

	/** Answers that come later than this after the deadline count as lost. */
	private static final long LATE_MILLIS = 5000;

	private static final Pattern CODE = Pattern.compile("\"code\"\\s*:\\s*\"([A-Z_]+)\"");

	private final LoadSettings settings;

	private final ActorRef<LoadReport> replyTo;

	private final LoadTally tally = new LoadTally();

	private final List<QueueProgress> progress = new ArrayList<>();

	private final String runToken = UUID.randomUUID().toString();

	private final long startedNanos = System.nanoTime();

	private int sent;

	private int inFlight;

	private LoadActor(ActorContext<Command> context, TimerScheduler<Command> timers, LoadSettings settings,
			ActorRef<LoadReport> replyTo) {
		super(context);
		this.settings = settings;
		this.replyTo = replyTo;
		settings.queues().forEach((queue) -> this.progress.add(new QueueProgress()));
		timers.startTimerAtFixedRate(Step.INSTANCE, STEP);
	}

	// life cycle

	static Behavior<Command> create(LoadSettings settings, ActorRef<LoadReport> replyTo) {
		return Behaviors
			.setup((context) -> Behaviors.withTimers((timers) -> new LoadActor(context, timers, settings, replyTo)));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Step.class, (command) -> onStep())
			.onMessage(Ended.class, this::onEnded)
			.build();
	}

	private Behavior<Command> onStep() {
		long elapsedMillis = elapsedMillis();
		boolean timeIsUp = elapsedMillis >= this.settings.maximumMillis();
		if (!timeIsUp) {
			sendDue(elapsedMillis);
		}
		boolean allSent = timeIsUp || this.sent >= this.settings.maximumRequests();
		boolean overdue = elapsedMillis >= this.settings.maximumMillis() + this.settings.timeoutMillis() + LATE_MILLIS;
		if (allSent && (this.inFlight == 0 || overdue)) {
			return finish(elapsedMillis);
		}
		return this;
	}

	private Behavior<Command> onEnded(Ended ended) {
		this.inFlight--;
		this.progress.get(ended.queueIndex()).onEnded();
		ended.answer().ifPresentOrElse((answer) -> onAnswer(ended, answer), this.tally::onLost);
		return this;
	}

	// helpers

	private void sendDue(long elapsedMillis) {
		for (int queueIndex = 0; queueIndex < this.progress.size(); queueIndex++) {
			int due = this.settings.loop().due(this.settings, queueIndex, this.progress.get(queueIndex), elapsedMillis);
			int allowed = Math.min(due, this.settings.maximumRequests() - this.sent);
			for (int number = 0; number < allowed; number++) {
				send(queueIndex);
			}
		}
	}

	private void send(int queueIndex) {
		this.sent++;
		this.inFlight++;
		this.tally.onSent();
		this.progress.get(queueIndex).onSent();
		String body = body();
		long sentNanos = System.nanoTime();
		CompletionStage<Answer> answer = Http.get(getContext().getSystem())
			.singleRequest(request(queueIndex, body))
			.thenCompose((response) -> response.entity()
				.toStrict(this.settings.timeoutMillis() + LATE_MILLIS, getContext().getSystem())
				.thenApply((entity) -> new Answer(response.status().intValue(), entity.getData().utf8String())));
		getContext().pipeToSelf(answer,
				(value, failure) -> new Ended(queueIndex, body, sentNanos, Optional.ofNullable(value)));
	}

	private HttpRequest request(int queueIndex, String body) {
		String entry = this.settings.entries().get(this.sent % this.settings.entries().size()).toString();
		HttpRequest request = HttpRequest
			.POST("http://" + entry + "/v1/queues/" + this.settings.queues().get(queueIndex) + "/requests")
			.addHeader(RawHeader.create("Burdock-Request-Id",
					System.currentTimeMillis() / 1000 + "-" + this.runToken.substring(0, 8) + "-" + this.sent))
			.addHeader(RawHeader.create("Burdock-Repeatable", Boolean.toString(this.settings.repeatable())))
			.addHeader(RawHeader.create("Burdock-Timeout-Ms", Long.toString(this.settings.timeoutMillis())))
			.withEntity(ContentTypes.TEXT_PLAIN_UTF8, body);
		return this.settings.key()
			.map((key) -> request.addHeader(RawHeader.create("Burdock-Key", key)))
			.orElse(request);
	}

	private String body() {
		String start = this.runToken + "-" + this.sent + "-";
		return start + "x".repeat(Math.max(0, this.settings.bodyBytes() - start.length()));
	}

	private void onAnswer(Ended ended, Answer answer) {
		if (answer.status() == 200) {
			this.tally.onAnswer(ended.body(), answer.body(), (System.nanoTime() - ended.sentNanos()) / 1000);
			return;
		}
		Matcher code = CODE.matcher(answer.body());
		this.tally.onRefusal(answer.status() + (code.find() ? " " + code.group(1) : ""));
	}

	private Behavior<Command> finish(long elapsedMillis) {
		for (int number = 0; number < this.inFlight; number++) {
			this.tally.onLost();
		}
		this.replyTo.tell(this.tally.report(elapsedMillis));
		return Behaviors.stopped();
	}

	private long elapsedMillis() {
		return (System.nanoTime() - this.startedNanos) / 1_000_000;
	}

	/** Messages of the load actor. */
	sealed interface Command {

	}

	/** Time to send. */
	private enum Step implements Command {

		INSTANCE

	}

	/**
	 * A request was answered or lost.
	 *
	 * @param queueIndex number of the queue
	 * @param body the body that was sent
	 * @param sentNanos when it was sent
	 * @param answer the answer if there is one
	 */
	private record Ended(int queueIndex, String body, long sentNanos, Optional<Answer> answer) implements Command {

	}

	/**
	 * An answer.
	 *
	 * @param status the HTTP status
	 * @param body the body as text
	 */
	private record Answer(int status, String body) {

	}

}
