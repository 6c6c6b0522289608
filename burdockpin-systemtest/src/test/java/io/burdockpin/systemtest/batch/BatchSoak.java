package io.burdockpin.systemtest.batch;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import java.util.regex.Pattern;

import io.burdockpin.systemtest.batch.TwiceCheck.Twice;
import io.burdockpin.systemtest.fleet.Await;

/** One soak from a seed. Its own thread strikes the faults and submits the jobs. */
final class BatchSoak {

	/** Faults strike from the first moment, while the processes still start. */
	private static final long START_MILLIS = 4_000;

	private static final long JOB_MILLIS = 66;

	private static final long CONFIGURE_MILLIS = 1_500;

	/** Several versions come while the tasks of a job run. */
	private static final long RENAME_MILLIS = 3_000;

	/** Pairs of runs that are shown with the logs of the control members. */
	private static final int SHOWN_PAIRS = 5;

	private static final int SHOWN_LINES = 80;

	/** Leases, elections and a restart by the platform are all shorter. */
	private static final Duration LONGEST_CALM = Duration.ofSeconds(60);

	private final long seed;

	private final long soakMillis;

	private volatile long endMillis;

	private long version = 1;

	private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();

	private final BatchDeployment deployment;

	private final JobCallers callers;

	private final List<String> failures = new CopyOnWriteArrayList<>();

	private final long zeroNanos = System.nanoTime();

	BatchSoak(Path programs, Path folder, long seed, Duration length) throws IOException {
		this.seed = seed;
		this.soakMillis = length.toMillis();
		this.deployment = new BatchDeployment(programs, folder);
		this.callers = new JobCallers(this.deployment.client(), this.deployment.entryAddresses().toList(),
				new SplittableRandom(~seed));
	}

	/**
	 * Runs the soak to its end.
	 * @return what was violated, in words; empty if nothing was
	 */
	String run() {
		try {
			onThread(this.deployment::start);
			RandomGenerator faults = new SplittableRandom(this.seed);
			schedule(SoakFault.plan(faults, START_MILLIS));
			Await.until("the configuration is in force", this::configure);
			this.endMillis = elapsedMillis() + this.soakMillis;
			this.thread.scheduleAtFixedRate(this::submit, 0, JOB_MILLIS, TimeUnit.MILLISECONDS);
			this.thread.scheduleAtFixedRate(this::renameRoute, RENAME_MILLIS, RENAME_MILLIS, TimeUnit.MILLISECONDS);
			schedule(SoakFault.plan(faults, this.soakMillis));
			Await.pass(Duration.ofMillis(this.soakMillis));
			onThread(this::heal);
			Set<String> open = awaitCompletion();
			onThread(() -> this.deployment.runners().forEach(RunnerSlot::crash));
			return report(open);
		}
		finally {
			this.thread.shutdownNow();
			this.deployment.close();
		}
	}

	// steps

	private void schedule(List<SoakFault.Planned> faults) {
		for (SoakFault.Planned planned : faults) {
			after(planned.atMillis(), () -> planned.strike(this.deployment));
			after(planned.atMillis() + planned.lengthMillis(), () -> planned.heal(this.deployment));
		}
	}

	private void submit() {
		if (elapsedMillis() < this.endMillis) {
			this.callers.submitNext();
		}
	}

	private boolean configure() {
		restartProcesses();
		return sendConfiguration().join().statusCode() == 200;
	}

	// A version that no member acknowledges is overtaken by the next one.
	private void renameRoute() {
		if (elapsedMillis() < this.endMillis) {
			this.version++;
			sendConfiguration();
		}
	}

	private CompletableFuture<HttpResponse<Void>> sendConfiguration() {
		URI address = URI.create("http://%s:%d/api/configuration"
			.formatted(this.deployment.memberAddress((int) (elapsedMillis() / 50)), BatchDeployment.CONTROL_PORT));
		HttpRequest request = HttpRequest.newBuilder(address)
			.timeout(Duration.ofMillis(CONFIGURE_MILLIS))
			.PUT(HttpRequest.BodyPublishers
				.ofString(JsonServer.JSON.valueToTree(JobCallers.configuration(this.version)).toString()))
			.build();
		return this.deployment.client().sendAsync(request, HttpResponse.BodyHandlers.discarding());
	}

	private void heal() {
		this.deployment.members().forEach((member) -> member.signal("CONT"));
		this.deployment.processes().forEach(BatchProcess::ensureRunning);
		this.deployment.runners().forEach(RunnerSlot::heal);
	}

	// The platform starts a process again that has ended.
	private void restartProcesses() {
		onThread(() -> this.deployment.processes().forEach(BatchProcess::ensureRunning));
	}

	private Set<String> awaitCompletion() {
		Set<String> open = new HashSet<>(this.callers.accepted());
		try {
			Await.within("all accepted jobs are completed", LONGEST_CALM, () -> {
				restartProcesses();
				open.removeIf(this.callers::isCompleted);
				return open.isEmpty();
			});
		}
		catch (AssertionError ex) {
			// The report names them.
		}
		return open;
	}

	// helpers

	private String report(Set<String> open) {
		List<RunRecord> records = this.deployment.runners()
			.stream()
			.flatMap((runner) -> runner.records().stream())
			.toList();
		Map<String, List<Twice>> twice = TwiceCheck.violations(records);
		System.out.printf("seed %d: %d jobs accepted, %d runs, %d tasks ran twice, %d jobs open, %.0f s%n", this.seed,
				this.callers.accepted().size(), records.size(), twice.size(), open.size(), elapsedMillis() / 1e3);
		List<String> lines = new ArrayList<>(this.failures);
		List<Twice> pairs = twice.values().stream().flatMap(List::stream).toList();
		pairs.forEach((pair) -> lines.add(pair.describe(this.zeroNanos)));
		pairs.stream()
			.limit(SHOWN_PAIRS)
			.forEach((pair) -> lines.addAll(logLines("%s\"|RUNNER_ATTACHED.*\"(%s|%s)@"
				.formatted(Pattern.quote(pair.first().task()), pair.first().runner(), pair.second().runner()))));
		if (!open.isEmpty()) {
			lines.add("accepted, but not completed: " + open);
			lines.addAll(logLines(open.iterator().next()));
		}
		if (lines.isEmpty()) {
			return "";
		}
		lines.addAll(logLines("proposal was rejected"));
		return "seed %d: %d tasks ran twice, %d jobs are open%n%s".formatted(this.seed, twice.size(), open.size(),
				String.join(System.lineSeparator(), lines));
	}

	private List<String> logLines(String pattern) {
		return this.deployment.members()
			.stream()
			.flatMap((member) -> member.logLines(Pattern.compile(pattern)).stream())
			.limit(SHOWN_LINES)
			.toList();
	}

	// A step that fails is reported, because the executor would drop its failure.
	private void after(long millis, Runnable step) {
		this.thread.schedule(() -> {
			try {
				step.run();
			}
			catch (RuntimeException ex) {
				this.failures.add("a step failed: " + ex);
			}
		}, millis, TimeUnit.MILLISECONDS);
	}

	private void onThread(Runnable step) {
		CompletableFuture.runAsync(step, this.thread).join();
	}

	private long elapsedMillis() {
		return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.zeroNanos);
	}

}
