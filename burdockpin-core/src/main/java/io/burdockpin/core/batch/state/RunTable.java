package io.burdockpin.core.batch.state;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.model.Resources;

/**
 * All runs that may be in progress, with the totals of their resources by runner and by
 * workspace. Mutable; owned by the {@link BatchState}.
 */
public final class RunTable {

	private final Map<RunnerKey, Map<TaskId, Run>> byRunner = new HashMap<>();

	private final Map<RunnerKey, Resources> reserved = new HashMap<>();

	/** The part of {@link #reserved} that belongs to long-running tasks. */
	private final Map<RunnerKey, Resources> longRunning = new HashMap<>();

	private final Map<String, Resources> charged = new HashMap<>();

	/**
	 * Returns the runs on a runner.
	 * @param runner the incarnation of the runner
	 * @return an immutable copy
	 */
	public Collection<Run> on(RunnerKey runner) {
		return List.copyOf(this.byRunner.getOrDefault(runner, Map.of()).values());
	}

	/**
	 * Visits all runs without a copy.
	 * @param visitor called with each run; must not change the table
	 */
	public void forEach(Consumer<Run> visitor) {
		this.byRunner.values().forEach((runs) -> runs.values().forEach(visitor));
	}

	/**
	 * Finds the run of a task on a runner.
	 * @param runner the incarnation of the runner
	 * @param task the task of the run
	 * @return empty if the task has no run there
	 */
	public Optional<Run> find(RunnerKey runner, TaskId task) {
		return Optional.ofNullable(this.byRunner.getOrDefault(runner, Map.of()).get(task));
	}

	/**
	 * Returns the runners that have runs.
	 * @return an immutable copy of their incarnations
	 */
	public Collection<RunnerKey> runners() {
		return List.copyOf(this.byRunner.keySet());
	}

	/**
	 * Returns the resources that all runs reserve on a runner.
	 * @param runner the incarnation of the runner
	 * @return the total; {@link Resources#NONE} without runs
	 */
	public Resources reservedOn(RunnerKey runner) {
		return this.reserved.getOrDefault(runner, Resources.NONE);
	}

	/**
	 * Returns the resources that long-running tasks reserve on a runner.
	 * @param runner the incarnation of the runner
	 * @return the total; {@link Resources#NONE} without runs
	 */
	public Resources longRunningOn(RunnerKey runner) {
		return this.longRunning.getOrDefault(runner, Resources.NONE);
	}

	/**
	 * Checks whether a runner has long-running tasks.
	 * @param runner incarnation of the runner
	 * @return {@code true} if long-running tasks reserve resources there
	 */
	public boolean hasLongRunning(RunnerKey runner) {
		return !longRunningOn(runner).equals(Resources.NONE);
	}

	/**
	 * Returns the resources charged to a workspace.
	 * @param workspace the name of the workspace
	 * @return the total over all runners; {@link Resources#NONE} without runs
	 */
	public Resources chargedTo(String workspace) {
		return this.charged.getOrDefault(workspace, Resources.NONE);
	}

	void add(Run run) {
		this.byRunner.computeIfAbsent(run.runner(), (key) -> new LinkedHashMap<>()).put(run.task(), run);
		this.reserved.merge(run.runner(), run.reserved(), Resources::plus);
		if (run.longRunning()) {
			this.longRunning.merge(run.runner(), run.reserved(), Resources::plus);
		}
		this.charged.merge(run.workspace(), run.charged(), Resources::plus);
	}

	void remove(Run run) {
		Map<TaskId, Run> runs = this.byRunner.getOrDefault(run.runner(), Map.of());
		if (!run.equals(runs.get(run.task()))) {
			return;
		}
		runs.remove(run.task());
		if (runs.isEmpty()) {
			this.byRunner.remove(run.runner());
			this.reserved.remove(run.runner());
			this.longRunning.remove(run.runner());
		}
		else {
			this.reserved.computeIfPresent(run.runner(), (key, sum) -> sum.minus(run.reserved()));
			if (run.longRunning()) {
				this.longRunning.computeIfPresent(run.runner(), (key, sum) -> sum.minus(run.reserved()));
			}
		}
		this.charged.computeIfPresent(run.workspace(), (key, sum) -> sum.minus(run.charged()));
	}

}
