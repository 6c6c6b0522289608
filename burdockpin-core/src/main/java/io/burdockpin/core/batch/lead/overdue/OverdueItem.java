package io.burdockpin.core.batch.lead.overdue;

/**
 * Work that has been open for longer than the bound of its kind.
 *
 * @param kind kind of the work
 * @param id identifies the work: a run, an end, a runner, a step or a host
 * @param ageMillis time since this leader first saw that the work was open, in
 * milliseconds
 */
public record OverdueItem(OverdueKind kind, String id, long ageMillis) {

	@Override
	public String toString() {
		return "%s (%d ms)".formatted(this.id, this.ageMillis);
	}

}
