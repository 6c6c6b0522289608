package io.burdockpin.core.batch.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import io.burdockpin.core.batch.model.BatchPool;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.JobSpec;
import io.burdockpin.core.batch.model.QueueAddress;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.Workspace;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.Resources;

/** Test data shared by the tests of the batch scheduler. */
public final class BatchFixtures {

	/** Resources requested by each task. */
	public static final Resources TASK = new Resources(1_000, 1_000, 0);

	/** Capacity of each runner. */
	public static final Resources CAPACITY = new Resources(4_000, 16_000, 0);

	private BatchFixtures() {
	}

	public static BatchQueue queue(String name, String pool, int maximumAttempts) {
		return new BatchQueue(name, "host", "/" + name + "/", false, pool, 0, maximumAttempts, 3_000, 600, 1.6);
	}

	public static FleetConfiguration configuration(long version, Resources limit, String... pools) {
		List<BatchQueue> queues = new ArrayList<>();
		List<BatchPool> poolList = new ArrayList<>();
		for (String pool : pools) {
			queues.add(queue("queue-" + pool, pool, 2));
			poolList.add(new BatchPool(pool, false, false));
		}
		poolList.add(new BatchPool("spare", false, true));
		return new FleetConfiguration(version, queues, poolList,
				List.of(new Workspace("team", Set.of("key"), 1, limit)), Payload.ofText("{}"));
	}

	public static StepSpec step(int count, int... after) {
		List<Integer> earlier = new ArrayList<>();
		for (int number : after) {
			earlier.add(number);
		}
		return new StepSpec(count, TASK, 500, earlier, false, false, false, Optional.empty(), Optional.empty(),
				OptionalInt.empty(), false, false, Optional.empty(), OptionalInt.empty(), false, 0);
	}

	public static StepSpec longRunning(int count, int maximumPerRunner, int maximumAway) {
		return new StepSpec(count, TASK, 500, List.of(), true, false, false, Optional.empty(), Optional.empty(),
				(maximumPerRunner > 0) ? OptionalInt.of(maximumPerRunner) : OptionalInt.empty(), false, true,
				Optional.of("image"), OptionalInt.empty(), false, maximumAway);
	}

	public static StepSpec gang(int count) {
		return new StepSpec(count, TASK, 500, List.of(), false, true, true, Optional.empty(), Optional.empty(),
				OptionalInt.empty(), false, false, Optional.empty(), OptionalInt.empty(), false, 0);
	}

	public static JobSpec job(StepSpec... steps) {
		return new JobSpec("specification", List.of(steps), 0, 0, 0);
	}

	/** Submits a job to the queue of that name. */
	public static BatchCommand.SubmitJob submit(String id, String queue, String workspace, JobSpec spec) {
		return new BatchCommand.SubmitJob(id, queue, workspace, spec, Optional.of(addressOf(queue)));
	}

	/** Returns the address that the queues in tests have. */
	public static QueueAddress addressOf(String queue) {
		return new QueueAddress("host", "/" + queue + "/");
	}

	/** Registers a runner by its first announcement. */
	public static BatchCommand.RegisterRunner register(RunnerRecord runner) {
		return new BatchCommand.RegisterRunner(runner, OptionalLong.of(1));
	}

	/** Adds a run that no assignment leads to. */
	public static void plantRun(BatchState state, Run run) {
		state.runs().add(run);
	}

	public static RunnerRecord runner(String id, String pool, long bornMillis, String... labels) {
		return new RunnerRecord(new RunnerKey(id, bornMillis), Optional.of("host-" + id), pool, "127.0.0.1:1", "dc1",
				Optional.of("rack-" + id), CAPACITY, Set.of(labels), false);
	}

}
