package io.burdockpin.benchmark.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;

import io.burdockpin.core.admission.Admission;
import io.burdockpin.core.admission.AdmissionLimits;
import io.burdockpin.core.admission.AdmissionRequest;
import io.burdockpin.core.admission.AdmissionResult;
import io.burdockpin.core.admission.ConfigurationView;
import io.burdockpin.core.admission.RequestIdWindow;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.Outcome;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.routing.AttemptVerdict;
import io.burdockpin.core.routing.QueuedRequest;
import io.burdockpin.core.routing.RequestQueue;
import io.burdockpin.core.routing.RoutingPolicy;
import io.burdockpin.core.routing.Runner;
import io.burdockpin.core.routing.RunnerTable;
import io.burdockpin.core.routing.RunnerTableSettings;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.FleetState;
import io.burdockpin.core.state.Proposal;

/**
 * Processor time of the decisions that a request or a change costs. Each value is the
 * median of several batches on one thread. Stateless.
 */
final class DecisionCosts {

	private static final int BATCHES = 15;

	private static final int OPERATIONS_PER_BATCH = 2_000;

	private static final long DEADLINE_MILLIS = SampleFleet.NOW_MILLIS + 30_000;

	private static final int SLOTS = 8;

	private static final int CONNECTIONS = 64;

	private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

	List<Measurement> measure(FleetSize size, int runners) {
		List<Measurement> measurements = new ArrayList<>();
		String sizeText = "%d teams, %d runners on the entry host".formatted(size.teams(), runners);
		measurements.add(new Measurement("admit one request", sizeText, admission(size), "us"));
		measurements.add(new Measurement("queue, route and end one request", sizeText, routing(size, runners), "us"));
		measurements.add(new Measurement("apply one configuration change", size.toString(), apply(size), "us"));
		return measurements;
	}

	private double admission(FleetSize size) {
		AdmissionLimits limits = new AdmissionLimits(1 << 20, 60_000, 600_000, new RequestIdWindow(3_600_000, 300_000));
		Admission admission = new Admission(limits, SampleFleet.NOW_MILLIS);
		admission.configure(ConfigurationView.of(SampleFleet.configuration(size)));
		AdmissionRequest facts = new AdmissionRequest(SampleFleet.queue(0), 500, Optional.of(KeyHash.of("key-1")),
				Optional.of(new RequestId("request-1")), true, 30_000);
		return medianMicros((number) -> {
			AdmissionResult result = admission.check(facts, () -> false, SampleFleet.NOW_MILLIS);
			return (result instanceof AdmissionResult.Admitted) ? 1 : 0;
		});
	}

	private double routing(FleetSize size, int runners) {
		QueueName queue = SampleFleet.queue(0);
		RunnerTable table = runnerTable(size, runners);
		RequestQueue waiting = waitingRequests(size.teams());
		return medianMicros((number) -> {
			waiting.offer(request(number + size.teams(), size.teams()));
			QueuedRequest next = waiting.poll((request) -> true).orElseThrow();
			Optional<Runner> runner = table.beginAttempt(queue, next.number(), Set.of(), DEADLINE_MILLIS,
					SampleFleet.NOW_MILLIS);
			table.endAttempt(next.number(), Outcome.RAN, AttemptVerdict.NEUTRAL, SampleFleet.NOW_MILLIS);
			return runner.isPresent() ? 1 : 0;
		});
	}

	private double apply(FleetSize size) {
		FleetState state = FleetState.restore(SampleFleet.create(size));
		long firstIndex = state.index() + 1;
		return medianMicros((number) -> {
			TeamSpec team = new TeamSpec(SampleFleet.team((int) (number % size.teams())), 10, 200, 0);
			Proposal proposal = new Proposal(SampleFleet.NOW_MILLIS + number,
					Optional.of(new RequestId("change-" + number)), OptionalLong.empty(),
					new ConfigurationCommand.UpdateTeam(team));
			state.apply(firstIndex + number, proposal);
			return 1;
		});
	}

	private static RunnerTable runnerTable(FleetSize size, int runners) {
		RunnerTableSettings settings = new RunnerTableSettings(3_000, 72_000, RoutingPolicy.NEAREST_THEN_LEAST_BUSY);
		RunnerTable table = new RunnerTable(settings, SampleFleet.dataCentre(0), new SplittableRandom(1));
		for (int number = 0; number < runners; number++) {
			table.announce(new Runner(new RunnerName("runner-" + number), SampleFleet.queue(number % size.pools()),
					SampleFleet.dataCentre(0), "127.1.0.9:" + number, false, SLOTS, CONNECTIONS, 1, 0, false,
					OptionalLong.empty()), SampleFleet.NOW_MILLIS);
		}
		return table;
	}

	private static RequestQueue waitingRequests(int teams) {
		RequestQueue waiting = new RequestQueue(10_000);
		for (int number = 0; number < teams; number++) {
			waiting.offer(request(number, teams));
		}
		return waiting;
	}

	private static QueuedRequest request(long number, int teams) {
		return new QueuedRequest(number, Optional.of(SampleFleet.team((int) (number % teams))), 10, DEADLINE_MILLIS);
	}

	private double medianMicros(Operation operation) {
		double[] micros = new double[BATCHES];
		long number = 0;
		for (int batch = -BATCHES; batch < BATCHES; batch++) {
			long startNanos = this.threads.getCurrentThreadCpuTime();
			int done = 0;
			for (int step = 0; step < OPERATIONS_PER_BATCH; step++) {
				done += operation.run(number);
				number++;
			}
			long usedNanos = this.threads.getCurrentThreadCpuTime() - startNanos;
			requireAllDone(done);
			if (batch >= 0) {
				micros[batch] = usedNanos / 1000.0 / OPERATIONS_PER_BATCH;
			}
		}
		Arrays.sort(micros);
		return micros[BATCHES / 2];
	}

	private static void requireAllDone(int done) {
		if (done != OPERATIONS_PER_BATCH) {
			throw new IllegalStateException(
					"only %d of %d operations took effect".formatted(done, OPERATIONS_PER_BATCH));
		}
	}

	private interface Operation {

		int run(long number);

	}

}
