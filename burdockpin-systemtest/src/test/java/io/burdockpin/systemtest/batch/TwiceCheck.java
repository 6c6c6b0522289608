package io.burdockpin.systemtest.batch;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/** Finds the tasks that ran twice, from the records of the runners alone. Stateless. */
final class TwiceCheck {

	private TwiceCheck() {
	}

	/**
	 * Returns each pair of runs that must not exist together.
	 * @param records all runs of all runners
	 * @return the violations by task
	 */
	static Map<String, List<Twice>> violations(List<RunRecord> records) {
		Map<String, List<RunRecord>> runs = records.stream()
			.collect(Collectors.groupingBy(RunRecord::task, TreeMap::new, Collectors.toList()));
		Map<String, List<Twice>> found = new TreeMap<>();
		runs.forEach((task, ofTask) -> {
			List<Twice> pairs = new ArrayList<>();
			for (RunRecord first : ofTask) {
				ofTask.stream().filter((second) -> second != first).forEach((second) -> {
					if (first.startNanos() <= second.startNanos() && first.overlaps(second)) {
						pairs.add(new Twice(Shape.AT_THE_SAME_TIME, first, second));
					}
					else if (first.wasDoneBefore(second)) {
						pairs.add(new Twice(Shape.AFTER_AN_ACKNOWLEDGED_END, first, second));
					}
				});
			}
			if (!pairs.isEmpty()) {
				found.put(task, pairs);
			}
		});
		return found;
	}

	/** How two runs contradict each other. */
	enum Shape {

		AT_THE_SAME_TIME, AFTER_AN_ACKNOWLEDGED_END

	}

	/**
	 * Two runs of a task that must not exist together.
	 *
	 * @param shape what is wrong
	 * @param first the run that started first
	 * @param second the other run
	 */
	record Twice(Shape shape, RunRecord first, RunRecord second) {

		String describe(long zeroNanos) {
			return "%s: %s; and %s".formatted(this.shape, this.first.describe(zeroNanos),
					this.second.describe(zeroNanos));
		}

	}

}
