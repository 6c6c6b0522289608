package io.burdockpin.core.batch.lead.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.BatchTask;
import io.burdockpin.core.model.Resources;

/**
 * Places steps one after the other in one placement round. Never exceeds the capacity of
 * a runner or the limit of a workspace. Not thread-safe.
 */
final class PlacementRound {

	private final BatchState state;

	private final FleetConfiguration configuration;

	private final RunnerChoice choice;

	private final Map<String, Resources> chargedByWorkspace = new HashMap<>();

	private final List<BatchCommand.Assignment> assignments = new ArrayList<>();

	private final Set<String> poolsLackingCapacity = new HashSet<>();

	private final Set<RunnerKey> runnersForRestarts = new HashSet<>();

	PlacementRound(BatchState state, FleetConfiguration configuration, RunnerChoice choice) {
		this.state = state;
		this.configuration = configuration;
		this.choice = choice;
	}

	int assignmentCount() {
		return this.assignments.size();
	}

	Plan plan(List<Candidate> candidates, OrderFigures figures) {
		return new Plan(this.assignments, this.poolsLackingCapacity, this.runnersForRestarts, candidates, figures);
	}

	void place(WorkItem item) {
		Map<RunnerKey, Integer> used = usedRunners(item);
		if (item.tasks().spec().gang() || item.urgency() == WorkItem.Urgency.LONG_RUNNING) {
			placeTogether(item, used);
		}
		else {
			placeTasks(item, used);
		}
	}

	private void placeTasks(WorkItem item, Map<RunnerKey, Integer> used) {
		List<BatchTask> tasks = item.tasks().tasks();
		for (int index = 0; index < tasks.size(); index++) {
			BatchTask task = tasks.get(index);
			if (task.isWaiting()) {
				Optional<Candidate> chosen = choose(item, task, used, Optional.empty());
				if (chosen.isEmpty()) {
					return;
				}
				assign(item, index, task.lastRun() + 1, chosen.get(), used);
			}
		}
	}

	// The members of a gang are started together or not at all. The same applies to
	// the tasks of a long-running step.
	private void placeTogether(WorkItem item, Map<RunnerKey, Integer> used) {
		List<BatchTask> tasks = item.tasks().tasks();
		if (!tasks.stream().allMatch(BatchTask::isWaiting)) {
			return;
		}
		int run = item.tasks().highestRun() + 1;
		int firstAssignment = this.assignments.size();
		List<Candidate> taken = new ArrayList<>();
		Optional<String> rack = Optional.empty();
		for (int index = 0; index < tasks.size(); index++) {
			Optional<Candidate> chosen = choose(item, tasks.get(index), used, rack);
			if (chosen.isEmpty()) {
				rollBack(item, firstAssignment, taken);
				return;
			}
			taken.add(chosen.get());
			assign(item, index, run, chosen.get(), used);
			rack = item.tasks().spec().sameRack() ? chosen.get().runner().rack() : Optional.empty();
		}
	}

	private void rollBack(WorkItem item, int firstAssignment, List<Candidate> taken) {
		StepSpec spec = item.tasks().spec();
		taken.forEach((candidate) -> {
			candidate.release(spec);
			this.chargedByWorkspace.computeIfPresent(item.job().workspace(),
					(name, sum) -> sum.minus(spec.resources()));
		});
		this.assignments.subList(firstAssignment, this.assignments.size()).clear();
	}

	void reserveForRestarts(WorkItem item, List<BatchTask> leaving) {
		Map<RunnerKey, Integer> used = usedRunners(item);
		for (BatchTask task : leaving) {
			Optional<Candidate> chosen = find(item, task, used, Optional.empty(),
					(candidate) -> !this.choice.isMaintenanceDue(candidate));
			if (chosen.isEmpty()) {
				return;
			}
			chosen.get().reserve(item.tasks().spec());
			used.merge(chosen.get().runner().key(), 1, Integer::sum);
			this.runnersForRestarts.add(chosen.get().runner().key());
		}
	}

	private Map<RunnerKey, Integer> usedRunners(WorkItem item) {
		Map<RunnerKey, Integer> used = new HashMap<>();
		if (item.tasks().spec().maximumPerRunner().isPresent()) {
			item.tasks()
				.tasks()
				.forEach((task) -> task.run().ifPresent((run) -> used.merge(run.runner(), 1, Integer::sum)));
		}
		return used;
	}

	private Optional<Candidate> choose(WorkItem item, BatchTask task, Map<RunnerKey, Integer> used,
			Optional<String> rack) {
		StepSpec spec = item.tasks().spec();
		if (exceedsWorkspaceLimit(item, spec)
				|| (item.urgency() == WorkItem.Urgency.LONG_RUNNING && exceedsLongRunningShare(item, spec))) {
			return Optional.empty();
		}
		return find(item, task, used, rack, (candidate) -> true);
	}

	private Optional<Candidate> find(WorkItem item, BatchTask task, Map<RunnerKey, Integer> used, Optional<String> rack,
			Predicate<Candidate> filter) {
		Optional<Candidate> chosen = this.choice.find(item, task, used, rack, filter);
		if (chosen.isEmpty() && item.urgency() != WorkItem.Urgency.LATE) {
			this.poolsLackingCapacity.add(item.queue().pool());
		}
		return chosen;
	}

	private boolean exceedsLongRunningShare(WorkItem item, StepSpec spec) {
		double millicores = -spec.reserved().cpuMillicores();
		double mebibytes = -spec.reserved().memoryMebibytes();
		for (Candidate candidate : this.choice.candidates(item.queue().pool())) {
			Resources capacity = candidate.runner().capacity();
			millicores += TaskPlanner.LONG_RUNNING_SHARE * capacity.cpuMillicores()
					- candidate.longRunning().cpuMillicores();
			mebibytes += TaskPlanner.LONG_RUNNING_SHARE * capacity.memoryMebibytes()
					- candidate.longRunning().memoryMebibytes();
		}
		return millicores < 0 || mebibytes < 0;
	}

	private boolean exceedsWorkspaceLimit(WorkItem item, StepSpec spec) {
		String workspace = item.job().workspace();
		Resources after = chargedTo(workspace).plus(spec.resources());
		return this.configuration.workspace(workspace).filter((known) -> known.isExceededBy(after)).isPresent();
	}

	private Resources chargedTo(String workspace) {
		return this.chargedByWorkspace.computeIfAbsent(workspace, this.state.runs()::chargedTo);
	}

	private void assign(WorkItem item, int index, int run, Candidate candidate, Map<RunnerKey, Integer> used) {
		StepSpec spec = item.tasks().spec();
		RunnerKey key = candidate.runner().key();
		candidate.reserve(spec);
		used.merge(key, 1, Integer::sum);
		this.chargedByWorkspace.put(item.job().workspace(), chargedTo(item.job().workspace()).plus(spec.resources()));
		this.assignments.add(new BatchCommand.Assignment(
				new TaskId(item.job().id(), item.occurrence().number(), item.step(), index), run, key));
	}

}
