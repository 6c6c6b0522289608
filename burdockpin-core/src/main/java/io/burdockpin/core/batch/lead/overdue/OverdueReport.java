package io.burdockpin.core.batch.lead.overdue;

import java.util.List;

/**
 * What is overdue of one kind. Immutable.
 *
 * @param kind kind of the work
 * @param count number of overdue items, which may be more than are listed
 * @param oldest oldest items first, limited in number
 */
public record OverdueReport(OverdueKind kind, int count, List<OverdueItem> oldest) {

	public OverdueReport {
		oldest = List.copyOf(oldest);
	}

	/**
	 * Returns the age of the oldest item.
	 * @return age in milliseconds, 0 if nothing is overdue
	 */
	public long oldestMillis() {
		return this.oldest.isEmpty() ? 0 : this.oldest.get(0).ageMillis();
	}

}
