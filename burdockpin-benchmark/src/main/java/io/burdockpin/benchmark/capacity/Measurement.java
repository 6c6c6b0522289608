package io.burdockpin.benchmark.capacity;

import java.util.Locale;

/**
 * One measured value.
 *
 * @param quantity what was measured
 * @param size at which size
 * @param value the value
 * @param unit its unit
 */
record Measurement(String quantity, String size, double value, String unit) {

	String toMarkdownRow() {
		return String.format(Locale.ROOT, "| %s | %s | %.2f %s |", this.quantity, this.size, this.value, this.unit);
	}

}
