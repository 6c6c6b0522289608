package io.burdockpin.core.batch.lead.explore;

import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;

import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.state.BatchState;
import io.burdockpin.core.batch.state.Run;
import io.burdockpin.core.model.Resources;

/**
 * What may wait for a moment and must not wait for ever. An item that is listed twice,
 * seconds apart and in calm, is overdue.
 */
enum Overdue {

	/** An accepted job with enough capacity that does not end. */
	JOB((model) -> state(model).activeJobs()
		.stream()
		.filter((job) -> !job.spec().isLongRunning())
		.map((job) -> "job %s is %s".formatted(job.id(), job.phase()))),

	/** A task of a long-running job that does not run. */
	LONG_RUNNING_TASK((model) -> state(model).activeJobs()
		.stream()
		.filter((job) -> job.spec().isLongRunning())
		.filter((job) -> runningTasks(model, job.id()) < job.spec().steps().get(0).taskCount())
		.map((job) -> "long-running job %s lacks tasks".formatted(job.id()))),

	/** A job that its caller has submitted and the scheduler does not know. */
	SUBMISSION((model) -> model.clients()
		.jobs()
		.stream()
		.filter((job) -> state(model).job(job).isEmpty())
		.map("job %s is unknown"::formatted)),

	/** A job shown as failed, although no task has failed so often. */
	FAILURE((model) -> model.clients()
		.jobs()
		.stream()
		.filter((job) -> state(model).job(job).filter((known) -> known.phase() == BatchJobPhase.FAILED).isPresent())
		.map("job %s is failed"::formatted)),

	/** A cancelled job with tasks that run. */
	CANCEL((model) -> model.clients()
		.jobs()
		.stream()
		.filter((job) -> model.clients().cancelledMillis(job).isPresent() && runningTasks(model, job) > 0)
		.map("tasks of the cancelled job %s run"::formatted)),

	/** An end that a runner lists. */
	END((model) -> model.platform()
		.runners()
		.stream()
		.filter((runner) -> runner.unacknowledgedCount(model.nowMillis() - 4_000) > 0)
		.map((runner) -> "ends of %s are not acknowledged".formatted(runner.key()))),

	/** A sound runner that gets no tasks. */
	RUNNER((model) -> model.platform()
		.runners()
		.stream()
		.filter((runner) -> !runner.isDraining())
		.map(ModelRunner::key)
		.filter((key) -> !isUsable(model, key))
		.map("%s gets no tasks"::formatted)),

	/** A registered runner that is gone. */
	REGISTRATION((model) -> state(model).runners()
		.stream()
		.map((runner) -> runner.key())
		.filter((key) -> model.platform().runner(key.id()).filter((up) -> up.key().equals(key)).isEmpty())
		.map("%s is gone and still registered"::formatted)),

	/** A run that no runner has. */
	RUN((model) -> runs(model).filter((run) -> !isRunning(model, run))
		.map((run) -> "run %d of %s on %s is on no runner".formatted(run.number(), run.task(), run.runner()))),

	/** Resources charged to the workspace beyond those of its runs. */
	CHARGE((model) -> Stream.of(state(model).runs().chargedTo(FleetModel.WORKSPACE))
		.filter((charged) -> !charged.equals(runs(model).map(Run::reserved).reduce(Resources.NONE, Resources::plus)))
		.map("%s is charged without runs"::formatted)),

	/** A maintenance wave. */
	WAVE((model) -> state(model).waves()
		.values()
		.stream()
		.filter((wave) -> !wave.isCompleted())
		.map((wave) -> "wave %d: %s".formatted(wave.wave().number(), wave.hosts()))),

	/** A move of a host. */
	MOVE((model) -> state(model).moves().values().stream().map("move %s"::formatted));

	private final Function<FleetModel, Stream<String>> items;

	Overdue(Function<FleetModel, Stream<String>> items) {
		this.items = items;
	}

	static List<String> of(FleetModel model) {
		return Arrays.stream(values())
			.flatMap((kind) -> kind.items.apply(model).map((item) -> kind + ": " + item))
			.toList();
	}

	private static BatchState state(FleetModel model) {
		return model.scheduler().state();
	}

	private static Stream<Run> runs(FleetModel model) {
		BatchState state = state(model);
		return state.runs().runners().stream().flatMap((key) -> state.runs().on(key).stream());
	}

	private static boolean isRunning(FleetModel model, Run run) {
		return model.platform()
			.runners()
			.stream()
			.filter((runner) -> runner.key().equals(run.runner()))
			.anyMatch((runner) -> runner.running().containsKey(run.task())
					&& runner.running().get(run.task()).run() == run.number());
	}

	private static long runningTasks(FleetModel model, String job) {
		return model.platform()
			.runners()
			.stream()
			.flatMap((runner) -> runner.running().keySet().stream())
			.filter((task) -> task.job().equals(job))
			.count();
	}

	private static boolean isUsable(FleetModel model, RunnerKey key) {
		return model.scheduler()
			.leader()
			.flatMap((leading) -> leading.session(key))
			.filter((session) -> session.isUsable(model.nowMillis()))
			.isPresent();
	}

}
