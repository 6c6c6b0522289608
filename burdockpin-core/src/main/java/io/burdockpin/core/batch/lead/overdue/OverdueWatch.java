package io.burdockpin.core.batch.lead.overdue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.burdockpin.core.batch.lead.LeaderSettings;

/**
 * Watches the leader's own state for work that is overdue. Only reads: the work is
 * reported and left as it is. Ages count from the first evaluation of this leader that
 * found the work open. Not thread-safe; owned by the leader.
 */
public final class OverdueWatch {

	/** Bounds are seconds, and an evaluation reads all open work. */
	static final long PERIOD_MILLIS = 1_000;

	/** Limits the size of a report. */
	static final int MAXIMUM_LISTED_ITEMS = 5;

	/**
	 * The free capacity is known exactly just after a plan. Without a plan for this time
	 * something holds up the plans themselves.
	 */
	private static final long PLAN_WAIT_MILLIS = 1_000;

	private final LeaderSettings settings;

	private final Map<OverdueKind, Map<String, Long>> openSinceMillis = new EnumMap<>(OverdueKind.class);

	/** Kinds of which something was overdue at the latest evaluation. */
	private final Set<OverdueKind> overdueKinds = EnumSet.noneOf(OverdueKind.class);

	private long evaluatedMillis;

	/**
	 * Creates a watch.
	 * @param settings settings of the leader
	 * @param nowMillis current monotonic time, in milliseconds
	 */
	public OverdueWatch(LeaderSettings settings, long nowMillis) {
		this.settings = settings;
		this.evaluatedMillis = nowMillis;
	}

	/**
	 * Checks whether the work has to be evaluated.
	 * @param hasPlanned whether a plan was made at this time
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if the period is over and there was a plan or none for long
	 */
	public boolean isDue(boolean hasPlanned, long nowMillis) {
		return nowMillis - this.evaluatedMillis >= PERIOD_MILLIS + (hasPlanned ? 0 : PLAN_WAIT_MILLIS);
	}

	/**
	 * Evaluates the open work of all kinds.
	 * @param work what the leader sees of its open work
	 * @return one report for each kind of which something is overdue or was at the
	 * previous evaluation
	 */
	public List<OverdueReport> evaluate(OpenWork work) {
		this.evaluatedMillis = work.nowMillis();
		List<OverdueReport> reports = new ArrayList<>();
		for (OverdueKind kind : OverdueKind.values()) {
			OverdueReport report = evaluate(kind, work);
			boolean wasOverdue = this.overdueKinds.remove(kind);
			if (report.count() > 0) {
				this.overdueKinds.add(kind);
			}
			if (report.count() > 0 || wasOverdue) {
				reports.add(report);
			}
		}
		return reports;
	}

	private OverdueReport evaluate(OverdueKind kind, OpenWork work) {
		Map<String, Long> before = this.openSinceMillis.getOrDefault(kind, Map.of());
		Map<String, Long> open = new HashMap<>();
		kind.findOpen(work, (id) -> open.put(id, before.getOrDefault(id, work.nowMillis())));
		this.openSinceMillis.put(kind, open);
		long boundMillis = kind.boundMillis(this.settings);
		List<OverdueItem> overdue = new ArrayList<>();
		open.forEach((id, sinceMillis) -> {
			long ageMillis = work.nowMillis() - sinceMillis;
			if (ageMillis >= boundMillis) {
				overdue.add(new OverdueItem(kind, id, ageMillis));
			}
		});
		List<OverdueItem> oldest = overdue.stream()
			.sorted(Comparator.comparingLong(OverdueItem::ageMillis).reversed().thenComparing(OverdueItem::id))
			.limit(MAXIMUM_LISTED_ITEMS)
			.toList();
		return new OverdueReport(kind, overdue.size(), oldest);
	}

}
