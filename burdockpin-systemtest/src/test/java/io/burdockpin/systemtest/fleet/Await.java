package io.burdockpin.systemtest.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Polls a condition until it holds, for a bounded time. Stateless. */
public final class Await {

	/** Long enough for elections and starts on a busy machine; not a target. */
	public static final Duration LONGEST_WAIT = Duration.ofSeconds(90);

	private static final long POLL_MILLIS = 50;

	private static final Executor NEXT_POLL = CompletableFuture.delayedExecutor(POLL_MILLIS, TimeUnit.MILLISECONDS);

	private Await() {
	}

	/**
	 * Waits until a condition holds.
	 * @param what the condition in words
	 * @param condition the condition; an exception counts as not yet
	 */
	public static void until(String what, BooleanSupplier condition) {
		value(what, LONGEST_WAIT, () -> condition.getAsBoolean() ? Optional.of(true) : Optional.empty());
	}

	/**
	 * Waits until a condition holds, for as long as a target allows.
	 * @param what the condition in words
	 * @param longest the target
	 * @param condition the condition
	 */
	public static void within(String what, Duration longest, BooleanSupplier condition) {
		value(what, longest, () -> condition.getAsBoolean() ? Optional.of(true) : Optional.empty());
	}

	/**
	 * Waits until there is a value.
	 * @param <T> type of the value
	 * @param what the value in words
	 * @param source the source of the value
	 * @return the value
	 */
	public static <T> T value(String what, Supplier<Optional<T>> source) {
		return value(what, LONGEST_WAIT, source);
	}

	/**
	 * Lets time pass, for faults that last.
	 * @param time how long
	 */
	public static void pass(Duration time) {
		CompletableFuture.runAsync(() -> {
		}, CompletableFuture.delayedExecutor(time.toMillis(), TimeUnit.MILLISECONDS)).join();
	}

	// helpers

	private static <T> T value(String what, Duration longest, Supplier<Optional<T>> source) {
		long endNanos = System.nanoTime() + longest.toNanos();
		String lastFailure = "";
		while (true) {
			try {
				Optional<T> found = source.get();
				if (found.isPresent()) {
					return found.get();
				}
			}
			catch (RuntimeException ex) {
				lastFailure = ", last failure: " + ex;
			}
			if (System.nanoTime() > endNanos) {
				throw new AssertionError(
						"%s did not happen in %d s%s".formatted(what, longest.toSeconds(), lastFailure));
			}
			CompletableFuture.runAsync(() -> {
			}, NEXT_POLL).join();
		}
	}

}
