package io.burdockpin.core.batch.lead.explore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.burdockpin.core.batch.lead.run.RunnerOrder;
import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.model.Resources;

/** Checks each start and acknowledgement against the rules for jobs. */
final class Checks {

	/** Time after which no task of a cancelled job is started by an order in time. */
	private static final int CANCEL_MILLIS = 1_000;

	private final VirtualTime time;

	private final List<String> violations = new ArrayList<>();

	/** Tasks of which a run has ended as done, on any runner. */
	private final Set<TaskId> ended = new HashSet<>();

	private final Set<TaskId> acknowledged = new HashSet<>();

	private final Map<TaskId, Long> lastStartMillis = new HashMap<>();

	/** The checkpoint of the first member that was started, by run of a gang. */
	private final Map<String, String> gangCheckpoints = new HashMap<>();

	Checks(VirtualTime time) {
		this.time = time;
	}

	List<String> violations() {
		return this.violations;
	}

	void violation(String text) {
		this.violations.add("%d: %s".formatted(this.time.nowMillis(), text));
	}

	boolean hasEnded(TaskId task) {
		return this.ended.contains(task);
	}

	void onEnd(TaskId task, RunOutcome outcome) {
		if (outcome.isDone()) {
			this.ended.add(task);
		}
	}

	void onAcknowledged(TaskId task, long endedMillis) {
		this.acknowledged.add(task);
		if (this.lastStartMillis.getOrDefault(task, 0L) > endedMillis) {
			violation("the end of %s at %d is acknowledged although it started again".formatted(task, endedMillis));
		}
	}

	void onStart(ModelRunner runner, RunnerOrder.Start start, boolean isLate, ModelClients clients,
			ModelPlatform platform) {
		TaskId task = start.task();
		this.lastStartMillis.put(task, this.time.nowMillis());
		ModelClients.Submission job = clients.submission(task.job()).get();
		StepSpec step = job.spec().steps().get(task.step());
		platform.runners().forEach((other) -> {
			other.advance(this.time.nowMillis());
			if (other.running().containsKey(task)) {
				violation("TWICE: %s run %d starts on %s while another run is under way on %s".formatted(task,
						start.run(), runner.key(), other.key()));
			}
		});
		if (this.acknowledged.contains(task)) {
			violation("TWICE: %s run %d starts after an acknowledged end".formatted(task, start.run()));
		}
		if (!job.queue().pool().equals(runner.pool())) {
			violation("ROUTE: %s starts in pool %s".formatted(task, runner.pool()));
		}
		boolean isEarly = step.after()
			.stream()
			.anyMatch((earlier) -> !isDone(task, earlier, job.spec().steps().get(earlier).taskCount()));
		if (isEarly) {
			violation("ORDER: %s starts before its earlier steps".formatted(task));
		}
		boolean isUnasked = !start.specification().equals(job.spec().specification())
				|| (!isLate && clients.cancelledMillis(task.job())
					.filter((cancelled) -> this.time.nowMillis() - cancelled > CANCEL_MILLIS)
					.isPresent());
		if (isUnasked) {
			violation("UNASKED: %s run %d starts".formatted(task, start.run()));
		}
		if (!used(runner, clients).plus(step.reserved()).fitsIn(ModelRunner.CAPACITY)) {
			violation("LIMIT: %s exceeds the capacity of %s".formatted(task, runner.key()));
		}
		Resources running = platform.runners()
			.stream()
			.map((other) -> used(other, clients))
			.reduce(Resources.NONE, Resources::plus);
		if (running.cpuMillicores() > FleetModel.UPPER_LIMIT.cpuMillicores()) {
			violation("QUOTA: %s starts beside %s".formatted(task, running));
		}
		checkCheckpoint(step, start);
	}

	private boolean isDone(TaskId task, int step, int taskCount) {
		for (int index = 0; index < taskCount; index++) {
			if (!hasEnded(new TaskId(task.job(), task.occurrence(), step, index))) {
				return false;
			}
		}
		return true;
	}

	private static Resources used(ModelRunner runner, ModelClients clients) {
		return runner.running()
			.keySet()
			.stream()
			.map((task) -> clients.submission(task.job()).get().spec().steps().get(task.step()).reserved())
			.reduce(Resources.NONE, Resources::plus);
	}

	private void checkCheckpoint(StepSpec step, RunnerOrder.Start start) {
		TaskId task = start.task();
		String gangRun = "%s %d %d run %d".formatted(task.job(), task.occurrence(), task.step(), start.run());
		String first = step.gang() ? this.gangCheckpoints.computeIfAbsent(gangRun, (key) -> start.checkpoint())
				: start.checkpoint();
		if (!first.equals(start.checkpoint())) {
			violation("GANG: %s run %d resumes from '%s' and another member from '%s'".formatted(task, start.run(),
					start.checkpoint(), first));
		}
	}

}
