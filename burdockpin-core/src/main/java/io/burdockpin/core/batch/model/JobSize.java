package io.burdockpin.core.batch.model;

import java.util.Optional;

/**
 * What a job takes of a control member, in units. A unit is one task, one entry of
 * {@code after}, or 160 characters of text; a step or a job takes eight.
 *
 * @param specUnits units of the job itself and of its specification
 * @param occurrenceUnits units of one occurrence: its steps and their tasks
 * @param openOccurrences how many occurrences may be open at the same time
 */
public record JobSize(int specUnits, int occurrenceUnits, int openOccurrences) {

	/**
	 * Maximum for one job. Of a member's heap of 128 MB, a job of this size takes less
	 * than 2 MB once all its tasks have been started.
	 */
	public static final int MAXIMUM_UNITS = 25_000;

	/** An object of a step or of a job takes as much as eight tasks. */
	private static final int OBJECT_UNITS = 8;

	/** Characters that take as much memory as a task. */
	private static final int UNIT_CHARACTERS = 160;

	/**
	 * Open occurrences of one job take up to this, or there is one. Each occurrence must
	 * be able to begin at its due time although several earlier ones are late.
	 */
	private static final int OPEN_UNITS = 2_000;

	/** Specifications up to this size take nothing once the job has ended. */
	private static final int ORDINARY_SPEC_UNITS = 100;

	static JobSize of(JobSpec spec) {
		long specUnits = OBJECT_UNITS + textUnits(spec.specification());
		long occurrenceUnits = 0;
		for (StepSpec step : spec.steps()) {
			specUnits += step.after().size() + textUnits(step.requiredLabel()) + textUnits(step.dataRack())
					+ textUnits(step.image());
			occurrenceUnits += OBJECT_UNITS + step.taskCount();
		}
		long open = Math.max(1, Math.min(spec.totalOccurrences(), OPEN_UNITS / occurrenceUnits));
		return new JobSize((int) specUnits, (int) occurrenceUnits, (int) open);
	}

	/**
	 * Returns what the job takes while it is active.
	 * @return number of units
	 */
	public int units() {
		return this.specUnits + this.openOccurrences * this.occurrenceUnits;
	}

	/**
	 * Returns what the job takes from its end until its status can no longer be queried.
	 * The specifications of ordinary jobs are not counted, since the rate at which they
	 * complete bounds them.
	 * @return number of units
	 */
	public int endedUnits() {
		return Math.max(0, this.specUnits - ORDINARY_SPEC_UNITS);
	}

	private static int textUnits(Optional<String> text) {
		return text.map(JobSize::textUnits).orElse(0);
	}

	private static int textUnits(String text) {
		return text.length() / UNIT_CHARACTERS;
	}

}
