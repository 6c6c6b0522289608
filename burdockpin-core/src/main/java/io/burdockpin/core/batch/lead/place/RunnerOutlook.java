package io.burdockpin.core.batch.lead.place;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.model.Resources;

/**
 * Free capacity of a runner from now on, as far as it can be foreseen. Not thread-safe;
 * owned by a placement round.
 */
final class RunnerOutlook {

	private static final Comparator<Change> BY_TIME = Comparator.comparingLong(Change::atMillis);

	private final RunnerRecord runner;

	/** Empty for a host that has not arrived. */
	private final Optional<Candidate> candidate;

	private final List<Change> changes = new ArrayList<>();

	private boolean sorted = true;

	RunnerOutlook(RunnerRecord runner, Optional<Candidate> candidate) {
		this.runner = runner;
		this.candidate = candidate;
	}

	Optional<Candidate> candidate() {
		return this.candidate;
	}

	RunnerRecord runner() {
		return this.runner;
	}

	/**
	 * Adds capacity that becomes free.
	 * @param resources amount
	 * @param atMillis time, in milliseconds from now
	 */
	void addRelease(Resources resources, long atMillis) {
		add(new Change(atMillis, resources.cpuMillicores(), resources.memoryMebibytes(), resources.accelerators()));
	}

	/**
	 * Adds a task that will start later.
	 * @param resources resources of the task
	 * @param atMillis its start, in milliseconds from now
	 * @param durationMillis its duration
	 */
	void addReservation(Resources resources, long atMillis, long durationMillis) {
		add(new Change(atMillis, -resources.cpuMillicores(), -resources.memoryMebibytes(), -resources.accelerators()));
		addRelease(resources, atMillis + durationMillis);
	}

	private void add(Change change) {
		this.changes.add(change);
		this.sorted = false;
	}

	/**
	 * Returns the earliest time from which a task fits for good.
	 * @param spec step of the task
	 * @return milliseconds from now, or empty if it will not fit as far as can be
	 * foreseen
	 */
	OptionalLong earliestMillis(StepSpec spec) {
		Level level = new Level();
		long fromMillis = (level.places(spec.reserved()) > 0) ? 0 : -1;
		for (Change change : sortedChanges()) {
			level.add(change);
			boolean fits = level.places(spec.reserved()) > 0;
			if (!fits) {
				fromMillis = -1;
			}
			else if (fromMillis < 0) {
				fromMillis = change.atMillis();
			}
		}
		return (fromMillis >= 0) ? OptionalLong.of(fromMillis) : OptionalLong.empty();
	}

	/**
	 * Returns how many tasks fit from a time on.
	 * @param spec step of the tasks
	 * @param atMillis time, in milliseconds from now
	 * @return number of tasks, {@link Integer#MAX_VALUE} if they reserve nothing
	 */
	int placesFrom(StepSpec spec, long atMillis) {
		Level level = new Level();
		int smallest = Integer.MAX_VALUE;
		int present = level.places(spec.reserved());
		for (Change change : sortedChanges()) {
			if (change.atMillis() > atMillis) {
				smallest = Math.min(smallest, present);
			}
			level.add(change);
			present = level.places(spec.reserved());
		}
		return Math.min(smallest, present);
	}

	/**
	 * Returns the times at which the capacity changes.
	 * @return milliseconds from now, ascending
	 */
	List<Long> changeMillis() {
		return sortedChanges().stream().map(Change::atMillis).toList();
	}

	private List<Change> sortedChanges() {
		if (!this.sorted) {
			this.changes.sort(BY_TIME);
			this.sorted = true;
		}
		return this.changes;
	}

	/**
	 * Change of the free capacity, in the units of {@link Resources}.
	 *
	 * @param atMillis time, in milliseconds from now
	 * @param cpuMillicores added processor capacity, negative if taken
	 * @param memoryMebibytes added memory
	 * @param accelerators added accelerators
	 */
	private record Change(long atMillis, int cpuMillicores, int memoryMebibytes, int accelerators) {

	}

	/** Free capacity at one time. */
	private final class Level {

		private int cpuMillicores;

		private int memoryMebibytes;

		private int accelerators;

		private Level() {
			Resources free = RunnerOutlook.this.candidate.map(Candidate::free).orElse(Resources.NONE);
			this.cpuMillicores = free.cpuMillicores();
			this.memoryMebibytes = free.memoryMebibytes();
			this.accelerators = free.accelerators();
		}

		private void add(Change change) {
			this.cpuMillicores += change.cpuMillicores();
			this.memoryMebibytes += change.memoryMebibytes();
			this.accelerators += change.accelerators();
		}

		private int places(Resources task) {
			return Math.min(places(this.cpuMillicores, task.cpuMillicores()),
					Math.min(places(this.memoryMebibytes, task.memoryMebibytes()),
							places(this.accelerators, task.accelerators())));
		}

		private static int places(int free, int task) {
			return (task == 0) ? Integer.MAX_VALUE : Math.max(0, free) / task;
		}

	}

}
