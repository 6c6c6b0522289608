package io.burdockpin.core.batch.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import io.burdockpin.core.batch.model.BatchJobPhase;
import io.burdockpin.core.batch.model.BatchQueue;
import io.burdockpin.core.batch.model.DataCentreClosing;
import io.burdockpin.core.batch.model.FleetConfiguration;
import io.burdockpin.core.batch.model.HostMove;
import io.burdockpin.core.batch.model.JobSize;
import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.QueueAddress;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;

/**
 * The replicated state machine of the batch scheduler. It is deterministic: the same
 * commands lead to the same state on every member. Mutable; owned by one actor.
 */
public final class BatchState {

	/**
	 * Up to this number of tasks, snapshots list those that were never started too, since
	 * members of earlier versions need them. Those members do not have the memory for
	 * more.
	 */
	private static final int MAXIMUM_LISTED_TASKS = 400_000;

	private Optional<FleetConfiguration> configuration = Optional.empty();

	private final BatchJobTable jobs = new BatchJobTable();

	/** Addresses of jobs that the configuration no longer has. */
	private Set<QueueAddress> retiredAddresses = Set.of();

	private final Map<String, RunnerRecord> runners = new TreeMap<>();

	/** The runners by host; the leader looks up each host several times a second. */
	private final Map<String, RunnerRecord> runnersByHost = new HashMap<>();

	/**
	 * Sequence number of the announcement that each runner was registered with, by
	 * identifier. It lasts as long as the registration, so that no leader takes an
	 * earlier announcement for a later one.
	 */
	private final Map<String, Long> registeredSequences = new TreeMap<>();

	private final Map<Long, WaveProgress> waves = new TreeMap<>();

	private final Map<String, HostMove> moves = new TreeMap<>();

	/** Commit time of the last order about each host, in milliseconds since 1970. */
	private final Map<String, Long> hostOrderMillis = new TreeMap<>();

	private final Map<String, DataCentreClosing> closedDataCentres = new TreeMap<>();

	private final RunTable runs = new RunTable();

	// access

	/**
	 * Returns the configuration in force.
	 * @return empty before the first configuration is committed
	 */
	public Optional<FleetConfiguration> configuration() {
		return this.configuration;
	}

	/**
	 * Finds a job. Ended jobs are found until their retention time is over.
	 * @param id the identifier of the job
	 * @return empty if no such job is known
	 */
	public Optional<BatchJob> job(String id) {
		return this.jobs.find(id);
	}

	/**
	 * Returns all known jobs, including ended ones until their retention time is over.
	 * @return an unmodifiable view
	 */
	public Collection<BatchJob> jobs() {
		return this.jobs.all();
	}

	/**
	 * Finds the job that a caller addresses. It is known under the path that it was
	 * submitted to, whichever queue of the present configuration answers that path.
	 * @param host the virtual host, in any case
	 * @param path the path of the call
	 * @return empty if no such job is known
	 */
	public Optional<BatchJob> jobAt(String host, String path) {
		Stream<QueueAddress> configured = this.configuration.stream()
			.flatMap((current) -> current.queues().stream())
			.filter((queue) -> queue.host().equalsIgnoreCase(host))
			.map(BatchQueue::address);
		return Stream.concat(configured, this.retiredAddresses.stream())
			.filter((address) -> address.contains(host, path))
			.flatMap((address) -> job(path.substring(address.pathPrefix().length()))
				.filter((found) -> found.isAt(address))
				.stream())
			.findFirst();
	}

	/**
	 * Tells whether a job goes on.
	 * @param id the identifier of the job
	 * @return whether the job is known and has not ended
	 */
	public boolean isActive(String id) {
		return this.jobs.findActive(id).isPresent();
	}

	/**
	 * Returns the jobs that have not ended.
	 * @return an unmodifiable view, oldest first
	 */
	public Collection<BatchJob> activeJobs() {
		return this.jobs.active();
	}

	/**
	 * Returns what all jobs take of a member.
	 * @return number of units as counted by {@link JobSize}
	 */
	public long jobUnits() {
		return this.jobs.units();
	}

	/**
	 * Returns what the jobs of a workspace take of a member.
	 * @param workspace the name of the workspace, or empty for jobs without one
	 * @return number of units as counted by {@link JobSize}
	 */
	public long jobUnitsOf(String workspace) {
		return this.jobs.unitsOf(workspace);
	}

	/**
	 * Returns the latest known incarnation of each runner.
	 * @return an unmodifiable view, sorted by runner identifier
	 */
	public Collection<RunnerRecord> runners() {
		return Collections.unmodifiableCollection(this.runners.values());
	}

	/**
	 * Finds a runner.
	 * @param id the identifier of the runner
	 * @return its latest known incarnation; empty if it is not registered
	 */
	public Optional<RunnerRecord> runner(String id) {
		return Optional.ofNullable(this.runners.get(id));
	}

	/**
	 * Finds an incarnation of a runner.
	 * @param incarnation the identifier of the runner and its start time
	 * @return empty if this incarnation is not registered
	 */
	public Optional<RunnerRecord> runner(RunnerKey incarnation) {
		return runner(incarnation.id()).filter((known) -> known.key().equals(incarnation));
	}

	/**
	 * Tells whether an announcement is earlier than the one that its incarnation is
	 * registered with.
	 * @param incarnation the incarnation of the runner
	 * @param sequence the sequence number of the announcement
	 * @return {@code false} if the incarnation is not registered, if its sequence number
	 * is not known, or if it is leaving: then the leader decides which announcements are
	 * too late
	 */
	public boolean isOutdated(RunnerKey incarnation, long sequence) {
		OptionalLong registered = registeredSequence(incarnation);
		return registered.isPresent() && sequence < registered.getAsLong() && !isLeaving(incarnation);
	}

	/**
	 * Tells whether a departure was the latest news of an incarnation.
	 * @param incarnation the identifier of the runner and its start time
	 * @return {@code false} if the incarnation is not registered
	 */
	public boolean isLeaving(RunnerKey incarnation) {
		return registeredSequence(incarnation).equals(OptionalLong.of(BatchCommand.RegisterRunner.DEPARTURE));
	}

	/**
	 * Returns the sequence number of the announcement that an incarnation is registered
	 * with.
	 * @param incarnation the identifier of the runner and its start time
	 * @return empty if the incarnation is not registered, or only by commands of earlier
	 * versions
	 */
	public OptionalLong registeredSequence(RunnerKey incarnation) {
		Long sequence = runner(incarnation).isPresent() ? this.registeredSequences.get(incarnation.id()) : null;
		return (sequence != null) ? OptionalLong.of(sequence) : OptionalLong.empty();
	}

	/**
	 * Finds the runner on a host.
	 * @param host the name of the host
	 * @return empty if no runner is registered there
	 */
	public Optional<RunnerRecord> runnerOn(String host) {
		return Optional.ofNullable(this.runnersByHost.get(host));
	}

	/**
	 * Returns the runs that may be in progress.
	 * @return the live table, not a copy
	 */
	public RunTable runs() {
		return this.runs;
	}

	/**
	 * Returns the maintenance waves, including completed ones.
	 * @return an unmodifiable view by wave number
	 */
	public Map<Long, WaveProgress> waves() {
		return Collections.unmodifiableMap(this.waves);
	}

	/**
	 * Returns the moves of hosts that are not completed.
	 * @return an unmodifiable view by host name
	 */
	public Map<String, HostMove> moves() {
		return Collections.unmodifiableMap(this.moves);
	}

	/**
	 * Returns when the last order about a host was committed.
	 * @param host the name of the host
	 * @return milliseconds since 1970; 0 if there was none
	 */
	public long lastHostOrderMillis(String host) {
		return this.hostOrderMillis.getOrDefault(host, 0L);
	}

	/**
	 * Returns the closed data centres.
	 * @return an unmodifiable view by the name of the data centre
	 */
	public Map<String, DataCentreClosing> closedDataCentres() {
		return Collections.unmodifiableMap(this.closedDataCentres);
	}

	/**
	 * Tells whether a data centre is closed.
	 * @param dataCentre the name of the data centre, known or not
	 * @return whether no task may be started there
	 */
	public boolean isClosed(String dataCentre) {
		return this.closedDataCentres.containsKey(dataCentre);
	}

	/**
	 * Counts the runs in a data centre that may be in progress.
	 * @param dataCentre the name of the data centre
	 * @return the number of runs on its registered runners
	 */
	public int runCountIn(String dataCentre) {
		return this.runners.values()
			.stream()
			.filter((runner) -> runner.dataCentre().equals(dataCentre))
			.mapToInt((runner) -> this.runs.on(runner.key()).size())
			.sum();
	}

	/**
	 * Counts the jobs of a queue of which no runner has started a task yet.
	 * @param queue the address of the queue
	 * @return the number of jobs in phase {@link BatchJobPhase#QUEUED}
	 */
	public long queuedJobCount(QueueAddress queue) {
		return this.jobs.active()
			.stream()
			.filter((job) -> job.phase() == BatchJobPhase.QUEUED)
			.filter((job) -> job.address().filter(queue::equals).isPresent())
			.count();
	}

	/**
	 * Tells whether a host is pending or in progress in a maintenance wave. Such a host
	 * must not be moved, because maintenance cannot begin on a host that is powered off
	 * or moving.
	 * @param host the name of the host
	 * @return whether the host is in a wave that has not finished with it
	 */
	public boolean hasUnfinishedMaintenance(String host) {
		return this.waves.values()
			.stream()
			.map((wave) -> wave.hosts().get(host))
			.anyMatch((phase) -> phase != null && !phase.isFinished());
	}

	/**
	 * Finds a task.
	 * @param id identifies the task
	 * @return empty if its occurrence is not open
	 */
	public Optional<BatchTask> task(TaskId id) {
		return step(id).map((step) -> step.tasks().get(id.index()));
	}

	/**
	 * Finds the step that a task belongs to.
	 * @param id identifies the task
	 * @return empty if its occurrence is not open or has no such task
	 */
	public Optional<StepTasks> step(TaskId id) {
		return job(id.job()).flatMap((job) -> job.occurrence(id.occurrence()))
			.filter((occurrence) -> isIndexOf(id.step(), occurrence.steps()))
			.map((occurrence) -> occurrence.steps().get(id.step()))
			.filter((step) -> isIndexOf(id.index(), step.tasks()));
	}

	// A runner may list tasks that do not exist.
	private static boolean isIndexOf(int index, List<?> list) {
		return index >= 0 && index < list.size();
	}

	// changes

	/**
	 * Applies the commands of one log entry.
	 * @param group the commands of the entry
	 * @return the result of each command, in the same order
	 */
	public List<CommandResult> apply(CommandGroup group) {
		List<CommandResult> results = new ArrayList<>();
		group.commands().forEach((command) -> results.add(command.applyTo(this, group.atMillis())));
		this.jobs.removeExpired(group.atMillis());
		return results;
	}

	CommandResult setConfiguration(FleetConfiguration newer, long atMillis) {
		boolean isOlder = this.configuration.filter((current) -> current.version() >= newer.version()).isPresent();
		if (isOlder) {
			return CommandResult.UNCHANGED;
		}
		this.configuration = Optional.of(newer);
		updateQueues(newer, Map.of());
		List.copyOf(this.jobs.active())
			.stream()
			.filter(BatchState::hasExhaustedTask)
			.forEach((job) -> this.jobs.end(job, BatchJobPhase.FAILED, atMillis));
		return CommandResult.APPLIED;
	}

	// A task that is running may still complete its job.
	private static boolean hasExhaustedTask(BatchJob job) {
		return job.occurrences()
			.stream()
			.flatMap((occurrence) -> occurrence.steps().stream())
			.filter((step) -> !step.spec().longRunning())
			.anyMatch((step) -> step.changedTasks()
				.stream()
				.anyMatch((task) -> task.isWaiting() && step.failures(task) >= maximumAttempts(job)));
	}

	// Jobs stay with the address of their queue. Those of earlier versions have a name
	// only, and take the address of the first queue with that name.
	private void updateQueues(FleetConfiguration current, Map<QueueAddress, BatchQueue> retired) {
		Map<QueueAddress, BatchQueue> queues = current.queuesByAddress();
		for (BatchJob job : this.jobs.all()) {
			Optional<BatchQueue> queue = job.address().isEmpty() ? current.queueNamed(job.queueName())
					: job.address().map((address) -> queues.getOrDefault(address, retired.get(address)));
			queue.ifPresent(job::setQueue);
		}
		this.retiredAddresses = this.jobs.all()
			.stream()
			.flatMap((job) -> job.address().stream())
			.filter((address) -> !queues.containsKey(address))
			.collect(Collectors.toUnmodifiableSet());
	}

	CommandResult submit(BatchCommand.SubmitJob command, long atMillis) {
		Optional<BatchJob> known = job(command.id());
		if (known.isPresent()) {
			boolean isSame = command.address().filter((address) -> !known.get().isAt(address)).isEmpty()
					&& known.get().workspace().equals(command.workspace());
			return isSame ? CommandResult.UNCHANGED : CommandResult.CONFLICT;
		}
		Optional<BatchQueue> queue = this.configuration.flatMap((current) -> command.address().isEmpty()
				? current.queueNamed(command.queue()) : command.address().flatMap(current::queueWith));
		if (command.address().isPresent() && queue.isEmpty()) {
			// Removed while the submission was being committed.
			return CommandResult.REFUSED;
		}
		BatchJob job = new BatchJob(command.id(), command.queue(), command.address(), command.workspace(),
				command.spec(), atMillis);
		queue.ifPresent(job::setQueue);
		if (!command.spec().hasSchedule()) {
			job.open(new Occurrence(0, command.spec()));
		}
		this.jobs.add(job);
		return CommandResult.APPLIED;
	}

	CommandResult cancel(String id, long atMillis) {
		Optional<BatchJob> active = this.jobs.findActive(id);
		active.ifPresent((job) -> this.jobs.end(job, BatchJobPhase.CANCELLED, atMillis));
		return active.isPresent() ? CommandResult.APPLIED : CommandResult.UNCHANGED;
	}

	CommandResult open(String id, int number) {
		Optional<BatchJob> due = this.jobs.findActive(id)
			.filter((job) -> job.nextOccurrence() == number && number < job.spec().totalOccurrences());
		due.ifPresent((job) -> job.open(new Occurrence(number, job.spec())));
		return due.isPresent() ? CommandResult.APPLIED : CommandResult.UNCHANGED;
	}

	/**
	 * Assigns tasks to runners. An assignment that the tasks or the runners no longer
	 * permit is skipped, and its task goes on waiting; the members of a gang are assigned
	 * together or not at all.
	 * @param assignments the runs to create
	 */
	void assign(List<BatchCommand.Assignment> assignments) {
		Set<TaskId> incompleteGangs = assignments.stream()
			.filter((assignment) -> isGang(assignment.task()) && !isAssignable(assignment))
			.map((assignment) -> assignment.task().firstOfStep())
			.collect(Collectors.toSet());
		assignments.stream()
			.filter((assignment) -> !incompleteGangs.contains(assignment.task().firstOfStep()))
			.filter(this::isAssignable)
			.forEach(this::assign);
	}

	private void assign(BatchCommand.Assignment assignment) {
		TaskId id = assignment.task();
		BatchJob job = this.jobs.findActive(id.job()).orElseThrow();
		StepSpec spec = job.spec().steps().get(id.step());
		Run run = new Run(id, assignment.run(), assignment.runner(), job.workspace(), spec.reserved(), spec.resources(),
				spec.longRunning());
		step(id).ifPresent((step) -> step.assign(id.index(), run));
		this.runs.add(run);
	}

	// A plan does not know of a runner that was replaced or removed, or whose data centre
	// was closed, while the plan was being committed. No leader has a session with a
	// runner that was replaced or removed, so a run on it would be neither ordered nor
	// released.
	private boolean isAssignable(BatchCommand.Assignment assignment) {
		boolean mayStart = runner(assignment.runner()).filter((runner) -> !isClosed(runner.dataCentre())).isPresent();
		return mayStart && isActive(assignment.task().job())
				&& task(assignment.task()).filter(BatchTask::isWaiting)
					.filter((waiting) -> assignment.run() > waiting.lastRun())
					.isPresent();
	}

	/**
	 * Tells whether a task is a member of a gang.
	 * @param task identifies the task
	 * @return {@code false} also if its occurrence is not open
	 */
	public boolean isGang(TaskId task) {
		return step(task).filter((step) -> step.spec().gang()).isPresent();
	}

	void recordStart(String job) {
		this.jobs.findActive(job).ifPresent(BatchJob::start);
	}

	void recordEnd(RunnerKey runner, BatchCommand.End end, long atMillis) {
		if (step(end.task()).isPresent()) {
			recordStart(end.task().job());
		}
		Optional<Run> run = this.runs.find(runner, end.task()).filter((known) -> known.number() == end.run());
		run.ifPresent((ended) -> endRun(ended, end.checkpoint()));
		if (run.isPresent() || isLateCompletion(end)) {
			applyEnd(end, atMillis);
		}
	}

	// A run that was released after the expiry of its lease may have completed before the
	// expiry without a report in time. Its result counts unless a later run exists.
	private boolean isLateCompletion(BatchCommand.End end) {
		return end.outcome().isDone()
				&& step(end.task()).filter((step) -> end.run() == latestRun(step, end.task())).isPresent();
	}

	/**
	 * Tells whether a run was superseded by a later run of its task, whose end counts
	 * instead. Runs of long-running tasks are never superseded.
	 * @param end the end of the run
	 * @return whether the task has a later run
	 */
	public boolean isSuperseded(BatchCommand.End end) {
		return step(end.task()).filter((step) -> !step.spec().longRunning())
			.filter((step) -> end.run() < latestRun(step, end.task()))
			.isPresent();
	}

	private static int latestRun(StepTasks step, TaskId task) {
		return step.spec().gang() ? step.highestRun() : step.tasks().get(task.index()).lastRun();
	}

	void release(BatchCommand.Release release) {
		task(release.task()).flatMap(BatchTask::run)
			.or(() -> findRun(release.task()))
			.filter((run) -> run.number() == release.run())
			.ifPresent((run) -> endRun(run, release.checkpoint()));
	}

	CommandResult register(RunnerRecord runner, OptionalLong sequence) {
		List<RunnerRecord> known = Stream.of(runner(runner.key().id()), runner.host().flatMap(this::runnerOn))
			.flatMap(Optional::stream)
			.toList();
		if (known.stream().anyMatch((other) -> other.key().bornMillis() > runner.key().bornMillis())) {
			return CommandResult.REFUSED;
		}
		if (sequence.isPresent() && isOutdated(runner.key(), sequence.getAsLong())) {
			return CommandResult.REFUSED;
		}
		// A leader of an earlier version has ended a departure. Its registrations have no
		// number, so there is none to compare later ones with.
		OptionalLong registered = (sequence.isPresent() || isLeaving(runner.key())) ? sequence
				: registeredSequence(runner.key());
		known.stream().filter((other) -> !other.key().equals(runner.key())).forEach((earlier) -> {
			this.runs.on(earlier.key()).forEach((run) -> endRun(run, ""));
			removeRunner(earlier);
		});
		runner(runner.key().id()).ifPresent(this::removeRunner);
		putRunner(runner);
		registered.ifPresent((number) -> this.registeredSequences.put(runner.key().id(), number));
		return CommandResult.APPLIED;
	}

	CommandResult remove(RunnerKey runner) {
		Optional<RunnerRecord> known = runner(runner);
		known.ifPresent((record) -> {
			this.runs.on(runner).forEach((run) -> endRun(run, ""));
			removeRunner(record);
		});
		return known.isPresent() ? CommandResult.APPLIED : CommandResult.UNCHANGED;
	}

	CommandResult startWave(MaintenanceWave wave) {
		if (this.waves.containsKey(wave.number())) {
			return CommandResult.UNCHANGED;
		}
		this.waves.put(wave.number(), new WaveProgress(wave));
		return CommandResult.APPLIED;
	}

	CommandResult setMaintenancePhase(long number, String host, MaintenancePhase phase, long atMillis) {
		WaveProgress wave = this.waves.get(number);
		if (wave == null || !wave.hosts().containsKey(host) || !phase.canFollow(wave.hosts().get(host))) {
			return CommandResult.REFUSED;
		}
		if (phase == MaintenancePhase.ORDERED && this.moves.containsKey(host)) {
			return CommandResult.REFUSED;
		}
		this.hostOrderMillis.put(host, atMillis);
		wave.setPhase(host, phase, runnerOn(host).map(RunnerRecord::key));
		return CommandResult.APPLIED;
	}

	CommandResult setMove(String host, String pool, MovePhase phase, long atMillis) {
		Optional<HostMove> known = Optional.ofNullable(this.moves.get(host));
		boolean isOther = known.filter((move) -> !move.pool().equals(pool)).isPresent();
		if (isOther || (known.isEmpty() && (phase != MovePhase.ORDERED || hasUnfinishedMaintenance(host)))) {
			return CommandResult.REFUSED;
		}
		this.hostOrderMillis.put(host, atMillis);
		switch (phase) {
			case ORDERED ->
				this.moves.putIfAbsent(host, new HostMove(host, pool, false, runnerOn(host).map(RunnerRecord::key)));
			case BEGUN -> this.moves.put(host, new HostMove(host, pool, true, known.get().lifeBefore()));
			case OVER -> this.moves.remove(host);
		}
		return CommandResult.APPLIED;
	}

	CommandResult close(DataCentreClosing closing) {
		return (this.closedDataCentres.putIfAbsent(closing.dataCentre(), closing) == null) ? CommandResult.APPLIED
				: CommandResult.UNCHANGED;
	}

	CommandResult open(String dataCentre) {
		return (this.closedDataCentres.remove(dataCentre) != null) ? CommandResult.APPLIED : CommandResult.UNCHANGED;
	}

	// snapshots

	/**
	 * Takes a snapshot of the state.
	 * @return an immutable copy
	 */
	public BatchSnapshot snapshot() {
		return new BatchSnapshot(this.configuration, this.jobs.images(taskCount() <= MAXIMUM_LISTED_TASKS),
				List.copyOf(this.runners.values()),
				this.runs.runners().stream().flatMap((runner) -> this.runs.on(runner).stream()).toList(),
				this.waves.values().stream().map(BatchSnapshot.WaveImage::of).toList(),
				List.copyOf(this.moves.values()), Map.copyOf(this.hostOrderMillis),
				Map.copyOf(this.registeredSequences), retiredQueues(), List.copyOf(this.closedDataCentres.values()));
	}

	private long taskCount() {
		return this.jobs.active()
			.stream()
			.flatMap((job) -> job.occurrences().stream())
			.flatMap((occurrence) -> occurrence.steps().stream())
			.mapToLong((step) -> step.spec().taskCount())
			.sum();
	}

	private List<BatchQueue> retiredQueues() {
		return this.jobs.active()
			.stream()
			.flatMap((job) -> job.configuredQueue().stream())
			.filter((queue) -> this.retiredAddresses.contains(queue.address()))
			.distinct()
			.toList();
	}

	/**
	 * Restores a state from a snapshot.
	 * @param snapshot a snapshot taken by any member
	 * @return a new state machine with the same state
	 */
	public static BatchState restore(BatchSnapshot snapshot) {
		BatchState state = new BatchState();
		state.configuration = snapshot.configuration();
		state.jobs.restore(snapshot.jobs());
		Map<QueueAddress, BatchQueue> retired = snapshot.retiredQueues()
			.stream()
			.collect(Collectors.toMap(BatchQueue::address, Function.identity()));
		snapshot.configuration().ifPresent((current) -> state.updateQueues(current, retired));
		snapshot.runners().forEach(state::putRunner);
		state.registeredSequences.putAll(snapshot.registeredSequences());
		// Earlier versions kept runs of runners that are not registered.
		snapshot.runs().stream().filter((run) -> state.runner(run.runner()).isPresent()).forEach((run) -> {
			state.runs.add(run);
			state.step(run.task()).ifPresent((step) -> step.assign(run.task().index(), run));
		});
		state.jobs.active()
			.stream()
			.flatMap((job) -> job.occurrences().stream())
			.flatMap((occurrence) -> occurrence.steps().stream())
			.forEach(StepTasks::shareCheckpoint);
		snapshot.waves().forEach((image) -> state.waves.put(image.wave().number(), image.toProgress()));
		state.hostOrderMillis.putAll(snapshot.hostOrderMillis());
		snapshot.moves().forEach((move) -> state.moves.put(move.host(), move));
		snapshot.closedDataCentres().forEach(state::close);
		return state;
	}

	// helpers

	private Optional<Run> findRun(TaskId task) {
		return this.runs.runners().stream().flatMap((runner) -> this.runs.find(runner, task).stream()).findFirst();
	}

	private void endRun(Run run, String checkpoint) {
		this.runs.remove(run);
		task(run.task()).filter((task) -> task.run().equals(Optional.of(run)))
			.ifPresent((task) -> step(run.task()).ifPresent((step) -> step.endRun(run.task().index(), checkpoint)));
	}

	private void applyEnd(BatchCommand.End end, long atMillis) {
		Optional<BatchJob> active = this.jobs.findActive(end.task().job());
		Optional<StepTasks> step = step(end.task());
		if (active.isEmpty() || step.isEmpty()) {
			return;
		}
		BatchJob job = active.get();
		boolean isLongRunning = step.get().spec().longRunning();
		if (end.outcome().isDone() && !isLongRunning) {
			complete(job, step.get(), end.task().index(), atMillis);
		}
		else if (end.outcome().countsAsAttempt() && !isLongRunning) {
			int failures = step.get().fail(end.task().index(), end.run());
			if (failures >= maximumAttempts(job)) {
				this.jobs.end(job, BatchJobPhase.FAILED, atMillis);
			}
		}
	}

	private void complete(BatchJob job, StepTasks step, int index, long atMillis) {
		if (step.spec().gang()) {
			step.completeAll();
		}
		else {
			step.complete(index);
		}
		job.removeCompletedOccurrences();
		if (job.phase().isEnded()) {
			this.jobs.end(job, job.phase(), atMillis);
		}
	}

	private static int maximumAttempts(BatchJob job) {
		return job.configuredQueue().map(BatchQueue::maximumAttempts).orElse(Integer.MAX_VALUE);
	}

	private void putRunner(RunnerRecord runner) {
		this.runners.put(runner.key().id(), runner);
		this.runnersByHost.put(runner.hostOrId(), runner);
	}

	private void removeRunner(RunnerRecord runner) {
		if (this.runners.remove(runner.key().id(), runner)) {
			this.registeredSequences.remove(runner.key().id());
		}
		this.runnersByHost.remove(runner.hostOrId(), runner);
	}

}
