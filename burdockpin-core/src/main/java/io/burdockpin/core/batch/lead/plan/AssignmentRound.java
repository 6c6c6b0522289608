package io.burdockpin.core.batch.lead.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import io.burdockpin.core.batch.lead.place.Candidate;
import io.burdockpin.core.batch.lead.place.JobPlaces;
import io.burdockpin.core.batch.lead.place.PlaceRequest;
import io.burdockpin.core.batch.lead.place.PlacementLimit;
import io.burdockpin.core.batch.lead.place.PlacementRound;
import io.burdockpin.core.batch.lead.place.PlacementWaits;
import io.burdockpin.core.batch.lead.place.RunnerChoice;
import io.burdockpin.core.batch.lead.place.WaitingTask;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.BatchTask;
import io.burdockpin.core.batch.state.StepTasks;
import io.burdockpin.core.model.Resources;

/**
 * State of one placement round: assigns the tasks of steps to runners, within the
 * capacity of the runners and the limits of the workspaces. Not thread-safe; owned by the
 * planner.
 */
final class AssignmentRound {

	private final BatchState state;

	private final FleetConfiguration configuration;

	private final DurationEstimator durations;

	private final RunnerChoice runnerChoice;

	private final PlacementRound placement;

	private final Map<String, Resources> chargedByWorkspace = new HashMap<>();

	private final List<BatchCommand.Assignment> assignments = new ArrayList<>();

	private final Set<String> poolsLackingCapacity = new HashSet<>();

	private final Set<RunnerKey> runnersForRestarts = new HashSet<>();

	AssignmentRound(BatchState state, FleetConfiguration configuration, RunnerChoice runnerChoice,
			DurationEstimator durations, PlacementWaits waits, long wallMillis) {
		this.state = state;
		this.configuration = configuration;
		this.durations = durations;
		this.runnerChoice = runnerChoice;
		this.placement = waits.beginRound(state, this.runnerChoice, wallMillis);
	}

	int assignmentCount() {
		return this.assignments.size();
	}

	Plan plan(List<Candidate> candidates, PlacementOrder.Result order) {
		return new Plan(this.assignments, this.poolsLackingCapacity, this.runnersForRestarts, candidates,
				order.figures(), order.items().size());
	}

	void place(WorkItem item) {
		this.placement.observer()
			.onTurn(new TaskId(item.job().id(), item.occurrence().number(), item.step(), 0), item.queue().pool());
		JobPlaces places = JobPlaces.of(this.state, item.job(), item.tasks());
		if (item.tasks().spec().gang() || item.urgency() == WorkItem.Urgency.LONG_RUNNING) {
			placeTogether(item, places);
		}
		else {
			placeTasks(item, places);
		}
	}

	private void placeTasks(WorkItem item, JobPlaces places) {
		List<BatchTask> tasks = item.tasks().tasks();
		long durationMillis = item.durationMillis(this.durations);
		for (int index = item.tasks().firstWaitingIndex(); index < tasks.size(); index++) {
			BatchTask task = tasks.get(index);
			if (task.isWaiting()) {
				WaitingTask waiting = item.waitingTask(index, 1, task.lastRun() + 1, places, durationMillis);
				Optional<Candidate> chosen = choose(item, waiting.request(), Optional.empty(), (candidate) -> true);
				if (chosen.isEmpty()) {
					return;
				}
				if (this.placement.decide(waiting, chosen.get()).reason().starts()) {
					assign(item, waiting, chosen.get());
				}
			}
		}
	}

	// The members of a gang are started together or not at all. The same applies to
	// the tasks of a long-running step.
	private void placeTogether(WorkItem item, JobPlaces places) {
		StepTasks step = item.tasks();
		if (!step.areAllWaiting()) {
			return;
		}
		int run = step.highestRun() + 1;
		long durationMillis = item.durationMillis(this.durations);
		WaitingTask first = item.waitingTask(0, step.tasks().size(), run, places, durationMillis);
		List<Candidate> members = chooseTogether(item, first, places);
		boolean starts = members.size() == step.tasks().size()
				&& (!step.spec().gang() || this.placement.decideGang(first, members).reason().starts());
		for (int index = 0; starts && index < members.size(); index++) {
			assign(item, item.waitingTask(index, 1, run, places, durationMillis), members.get(index));
		}
	}

	// The capacity of the chosen runners is given back, so that a gang that waits
	// does not reserve it.
	private List<Candidate> chooseTogether(WorkItem item, WaitingTask first, JobPlaces places) {
		StepSpec spec = item.tasks().spec();
		List<Candidate> taken = new ArrayList<>();
		Optional<String> wholeRack = Optional.empty();
		Optional<String> rack = Optional.empty();
		for (int index = 0; index < first.count(); index++) {
			PlaceRequest request = item.request(item.tasks().tasks().get(index), places);
			Optional<String> only = wholeRack;
			Optional<Candidate> chosen = choose(item, request, rack,
					(candidate) -> only.isEmpty() || only.equals(candidate.runner().rack()));
			if (index == 0 && chosen.isPresent() && spec.gang()) {
				wholeRack = this.placement.rackForGang(request, first.count(), chosen.get().runner().rack());
				Optional<String> gangRack = wholeRack;
				chosen = wholeRack.isEmpty() ? chosen
						: choose(item, request, wholeRack, (candidate) -> gangRack.equals(candidate.runner().rack()));
			}
			if (chosen.isEmpty()) {
				break;
			}
			take(item, chosen.get(), places);
			taken.add(chosen.get());
			rack = spec.sameRack() ? chosen.get().runner().rack() : Optional.empty();
		}
		taken.forEach((candidate) -> giveBack(item, candidate, places));
		return taken;
	}

	void reserveForRestarts(WorkItem item, List<BatchTask> leaving) {
		JobPlaces places = JobPlaces.of(this.state, item.job(), item.tasks());
		for (BatchTask task : leaving) {
			Optional<Candidate> chosen = find(item, item.request(task, places), Optional.empty(),
					(candidate) -> !this.runnerChoice.isMaintenanceDue(candidate));
			if (chosen.isEmpty()) {
				return;
			}
			chosen.get().reserve(item.tasks().spec());
			places.add(chosen.get().runner());
			this.runnersForRestarts.add(chosen.get().runner().key());
		}
	}

	private Optional<Candidate> choose(WorkItem item, PlaceRequest request, Optional<String> rack,
			Predicate<Candidate> filter) {
		StepSpec spec = item.tasks().spec();
		Optional<PlacementLimit> limit = limit(item, spec);
		limit.ifPresent(this.placement.observer()::onLimit);
		return limit.isPresent() ? Optional.empty() : find(item, request, rack, filter);
	}

	private Optional<PlacementLimit> limit(WorkItem item, StepSpec spec) {
		if (exceedsWorkspaceLimit(item, spec)) {
			return Optional.of(PlacementLimit.WORKSPACE_LIMIT);
		}
		boolean exceedsShare = item.urgency() == WorkItem.Urgency.LONG_RUNNING
				&& this.runnerChoice.exceedsLongRunningShare(item.queue().pool(), spec, TaskPlanner.LONG_RUNNING_SHARE);
		return exceedsShare ? Optional.of(PlacementLimit.LONG_RUNNING_SHARE) : Optional.empty();
	}

	private Optional<Candidate> find(WorkItem item, PlaceRequest request, Optional<String> rack,
			Predicate<Candidate> filter) {
		this.placement.observer().onChoice(this.runnerChoice, request);
		Optional<Candidate> chosen = this.runnerChoice.choose(request, rack, filter);
		if (chosen.isEmpty() && item.urgency() != WorkItem.Urgency.LATE) {
			this.poolsLackingCapacity.add(item.queue().pool());
		}
		return chosen;
	}

	private boolean exceedsWorkspaceLimit(WorkItem item, StepSpec spec) {
		String workspace = item.job().workspace();
		Resources after = chargedTo(workspace).plus(spec.resources());
		return this.configuration.workspace(workspace).filter((known) -> known.isExceededBy(after)).isPresent();
	}

	private Resources chargedTo(String workspace) {
		return this.chargedByWorkspace.computeIfAbsent(workspace, this.state.runs()::chargedTo);
	}

	private void assign(WorkItem item, WaitingTask waiting, Candidate candidate) {
		take(item, candidate, waiting.request().places());
		this.placement.onAssigned(candidate, waiting);
		this.assignments.add(new BatchCommand.Assignment(waiting.task(), waiting.run(), candidate.runner().key()));
	}

	private void take(WorkItem item, Candidate candidate, JobPlaces places) {
		StepSpec spec = item.tasks().spec();
		candidate.reserve(spec);
		places.add(candidate.runner());
		this.chargedByWorkspace.put(item.job().workspace(), chargedTo(item.job().workspace()).plus(spec.resources()));
	}

	private void giveBack(WorkItem item, Candidate candidate, JobPlaces places) {
		StepSpec spec = item.tasks().spec();
		candidate.release(spec);
		places.remove(candidate.runner());
		this.chargedByWorkspace.computeIfPresent(item.job().workspace(), (name, sum) -> sum.minus(spec.resources()));
	}

}
