package io.burdockpin.systemtest.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.burdockpin.systemtest.fleet.Caller.Answer;
import io.burdockpin.systemtest.fleet.Caller.CallerRequest;

/**
 * Callers that send one request after the other to their entry hosts until they are
 * stopped or a bound is reached. Shared by the threads of the HTTP client.
 */
public final class Load {

	private static final int LARGEST_COUNT = 20_000;

	/** Keeps callers of a host that is down from using up the bound. */
	private static final Executor PAUSE = CompletableFuture.delayedExecutor(20, TimeUnit.MILLISECONDS);

	private final ConcurrentLinkedQueue<Answer> answers = new ConcurrentLinkedQueue<>();

	private final AtomicInteger sent = new AtomicInteger();

	private final List<CompletableFuture<Void>> loops = new ArrayList<>();

	private final Caller caller;

	private final String name;

	private final boolean repeatable;

	private final long timeoutMillis;

	private volatile boolean stopped;

	/**
	 * Creates callers that send nothing yet.
	 * @param caller sends the requests
	 * @param name part of the request identifiers, unique for each load
	 * @param repeatable whether the requests may run more than once
	 * @param timeoutMillis how long a caller waits
	 */
	public Load(Caller caller, String name, boolean repeatable, long timeoutMillis) {
		this.caller = caller;
		this.name = name;
		this.repeatable = repeatable;
		this.timeoutMillis = timeoutMillis;
	}

	// life cycle

	/**
	 * Starts callers.
	 * @param entry the entry host that they use
	 * @param callers how many there are
	 * @return this load
	 */
	public Load start(EntryHost entry, int callers) {
		for (int number = 0; number < callers; number++) {
			this.loops.add(next(entry));
		}
		return this;
	}

	/**
	 * Lets each caller wait for its answer and end.
	 * @return all answers
	 */
	public List<Answer> stop() {
		this.stopped = true;
		CompletableFuture.allOf(this.loops.toArray(CompletableFuture[]::new)).join();
		return answers();
	}

	// access

	/**
	 * Returns the answers so far.
	 * @return the answers
	 */
	public List<Answer> answers() {
		return List.copyOf(this.answers);
	}

	/**
	 * Waits until this many more callers got their own answer.
	 * @param count how many
	 */
	public void awaitServed(int count) {
		long before = served();
		Await.until(count + " more answers of load " + this.name, () -> served() >= before + count);
	}

	// helpers

	private long served() {
		return this.answers.stream().filter(Answer::isOwnEcho).count();
	}

	private CompletableFuture<Void> next(EntryHost entry) {
		int number = this.sent.getAndIncrement();
		if (this.stopped || number >= LARGEST_COUNT) {
			return CompletableFuture.completedFuture(null);
		}
		String requestId = "%d-%s-%d".formatted(System.currentTimeMillis() / 1000, this.name, number);
		CallerRequest request = new CallerRequest(requestId, "body of " + requestId, this.repeatable,
				this.timeoutMillis);
		return this.caller.send(entry, request)
			.thenAccept(this.answers::add)
			.thenComposeAsync((done) -> next(entry), PAUSE);
	}

}
