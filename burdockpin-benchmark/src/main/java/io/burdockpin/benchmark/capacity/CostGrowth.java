package io.burdockpin.benchmark.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * How much more a decision costs at the two-year size than today, both measured in one
 * run. The bound is the growth of the size itself: a decision whose cost grows faster
 * makes a larger fleet costlier for each host.
 *
 * @param quantity the decision
 * @param costRatio its cost at the largest size divided by that at the smallest
 * @param sizeRatio the largest size divided by the smallest
 */
record CostGrowth(String quantity, double costRatio, double sizeRatio) {

	/**
	 * Compares two measurements of the same decisions.
	 * @param smallest the costs at the smallest size
	 * @param largest the costs at the largest size, in the same order
	 * @param sizeRatio the largest size divided by the smallest
	 * @return one growth for each decision
	 */
	static List<CostGrowth> between(List<Measurement> smallest, List<Measurement> largest, double sizeRatio) {
		List<CostGrowth> growths = new ArrayList<>();
		for (int position = 0; position < smallest.size(); position++) {
			Measurement before = smallest.get(position);
			growths.add(new CostGrowth(before.quantity(), largest.get(position).value() / before.value(), sizeRatio));
		}
		return growths;
	}

	boolean isWithinBound() {
		return this.costRatio <= this.sizeRatio;
	}

	String toMarkdownRow() {
		return String.format(Locale.ROOT, "| %s | %.1f | %.1f | %s |", this.quantity, this.costRatio, this.sizeRatio,
				isWithinBound() ? "yes" : "no");
	}

}
