package io.burdockpin.benchmark.policy;

import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;

/**
 * Draws one panel for each scenario and measure, with a bar for each policy and a line at
 * the bound. Has no state.
 */
final class SvgPlot {

	private static final List<Measure> SHOWN = List.of(Measure.BUFFER_COST, Measure.ROLLOUT, Measure.MOVES,
			Measure.SHARE_NEARNESS, Measure.URGENT_START);

	private static final String[] COLOURS = { "#1f6f8b", "#c98f2b", "#8a8a8a" };

	private static final int PANEL_WIDTH = 210;

	private static final int PANEL_HEIGHT = 170;

	private static final int BAR_AREA = 100;

	private static final int BAR_WIDTH = 45;

	private static final int TOP = 40;

	String draw(List<Comparison> comparisons) {
		int width = SHOWN.size() * PANEL_WIDTH + 20;
		int height = comparisons.size() * PANEL_HEIGHT + TOP;
		StringBuilder svg = new StringBuilder();
		svg.append(
				"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n"
					.formatted(width, height));
		svg.append("<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n");
		appendLegend(svg);
		for (int row = 0; row < comparisons.size(); row++) {
			for (int column = 0; column < SHOWN.size(); column++) {
				appendPanel(svg, comparisons.get(row), SHOWN.get(column), 10 + column * PANEL_WIDTH,
						TOP + row * PANEL_HEIGHT);
			}
		}
		return svg.append("</svg>\n").toString();
	}

	private static void appendLegend(StringBuilder svg) {
		int left = 10;
		for (PolicyKind kind : PolicyKind.values()) {
			svg.append("<rect x=\"%d\" y=\"10\" width=\"12\" height=\"12\" fill=\"%s\"/>".formatted(left,
					COLOURS[kind.ordinal()]));
			svg.append("<text x=\"%d\" y=\"20\">%s</text>\n".formatted(left + 17, kind.label()));
			left += 220;
		}
		svg.append("<text x=\"%d\" y=\"20\" fill=\"#b00020\">line: bound</text>\n".formatted(left));
	}

	private static void appendPanel(StringBuilder svg, Comparison comparison, Measure measure, int left, int top) {
		OptionalDouble bound = measure.boundOf(comparison.results().get(PolicyKind.PLANNERS));
		double largest = Math.max(bound.orElse(0),
				comparison.results().values().stream().mapToDouble(measure::valueOf).max().orElse(0));
		double scale = (largest > 0) ? BAR_AREA / largest : 0;
		svg.append("<text x=\"%d\" y=\"%d\">%s: %s</text>\n".formatted(left, top + 12, comparison.scenario().firm(),
				measure.label()));
		comparison.results().forEach((kind, result) -> {
			double value = measure.valueOf(result);
			int x = left + 5 + kind.ordinal() * (BAR_WIDTH + 10);
			double barHeight = value * scale;
			double y = top + 35 + BAR_AREA - barHeight;
			svg.append(String.format(Locale.ROOT,
					"<rect x=\"%d\" y=\"%.1f\" width=\"%d\" height=\"%.1f\" fill=\"%s\"/>"
							+ "<text x=\"%d\" y=\"%.1f\">%s</text>%n",
					x, y, BAR_WIDTH, barHeight, COLOURS[kind.ordinal()], x, y - 3, Measure.format(value)));
		});
		bound.ifPresent((value) -> {
			double y = top + 35 + BAR_AREA - value * scale;
			svg.append(String.format(Locale.ROOT,
					"<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#b00020\"/>%n", left, y,
					left + 3 * (BAR_WIDTH + 10), y));
		});
	}

}
