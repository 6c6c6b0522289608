package io.burdockpin.benchmark.policy;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

/** Writes results as Markdown, CSV and a plot. Has no state. */
final class ReportWriter {

	private final SvgPlot plot = new SvgPlot();

	/**
	 * Writes all files.
	 * @param folder where to write, created if it does not exist
	 * @param comparisons the results of the scenarios
	 * @param costs the processor times
	 */
	void write(Path folder, List<Comparison> comparisons, List<RoundCost.Cost> costs) {
		try {
			Files.createDirectories(folder);
			Files.writeString(folder.resolve("policy-benchmark.md"), markdown(comparisons, costs));
			Files.writeString(folder.resolve("policy-benchmark.csv"), csv(comparisons, costs));
			Files.writeString(folder.resolve("policy-benchmark.svg"), this.plot.draw(comparisons));
		}
		catch (IOException ex) {
			throw new UncheckedIOException("cannot write the results to " + folder, ex);
		}
	}

	String markdown(List<Comparison> comparisons, List<RoundCost.Cost> costs) {
		StringBuilder text = new StringBuilder("# Policy benchmark\n");
		comparisons.forEach((comparison) -> appendComparison(text, comparison));
		appendCosts(text, costs);
		return text.toString();
	}

	// helpers

	private static void appendComparison(StringBuilder text, Comparison comparison) {
		Scenario scenario = comparison.scenario();
		text.append(String.format(Locale.ROOT, "%n## %s%n%nSeed %d, %d s of virtual time, mean demand %.0f%%.%n%n",
				scenario.firm(), scenario.seed(), scenario.durationMillis() / 1000, 100 * scenario.loadPart()));
		text.append("| measure |");
		comparison.results().keySet().forEach((kind) -> text.append(' ').append(kind.label()).append(" |"));
		text.append(" bound |\n| --- |").append(" ---: |".repeat(comparison.results().size() + 1)).append('\n');
		for (Measure measure : Measure.values()) {
			text.append("| ").append(measure.label()).append(" |");
			comparison.results()
				.values()
				.forEach((result) -> text.append(' ').append(Measure.format(measure.valueOf(result))).append(" |"));
			text.append(' ').append(bound(measure, comparison)).append(" |\n");
		}
		comparison.results().forEach((kind, result) -> {
			if (scenario.campaign() && !result.rolloutCompleted()) {
				text.append("\nThe campaign of \"").append(kind.label()).append("\" did not complete in time.\n");
			}
		});
	}

	private static void appendCosts(StringBuilder text, List<RoundCost.Cost> costs) {
		text.append("\n## Processor time of one round\n\n");
		text.append("| hosts | jobs | teams | placement, ms | maintenance, ms |\n");
		text.append("| ---: | ---: | ---: | ---: | ---: |\n");
		for (RoundCost.Cost cost : costs) {
			text.append(String.format(Locale.ROOT, "| %d | %d | %d | %.2f | %.2f |%n", cost.size().hosts(),
					cost.size().jobs(), cost.size().teams(), cost.placementMillis(), cost.maintenanceMillis()));
		}
	}

	private static String csv(List<Comparison> comparisons, List<RoundCost.Cost> costs) {
		StringBuilder text = new StringBuilder("scenario,seed,policy,measure,value\n");
		for (Comparison comparison : comparisons) {
			String prefix = comparison.scenario().firm() + "," + comparison.scenario().seed() + ",";
			for (Measure measure : Measure.values()) {
				comparison.results()
					.forEach((kind, result) -> appendRow(text, prefix + kind, measure, measure.valueOf(result)));
				measure.boundOf(comparison.results().get(PolicyKind.PLANNERS))
					.ifPresent((value) -> appendRow(text, prefix + "BOUND", measure, value));
			}
		}
		for (RoundCost.Cost cost : costs) {
			String prefix = "hosts=%d jobs=%d teams=%d,0,PLANNERS,".formatted(cost.size().hosts(), cost.size().jobs(),
					cost.size().teams());
			text.append(String.format(Locale.ROOT, "%splacement round ms,%.3f%n", prefix, cost.placementMillis()));
			text.append(String.format(Locale.ROOT, "%smaintenance round ms,%.3f%n", prefix, cost.maintenanceMillis()));
		}
		return text.toString();
	}

	private static void appendRow(StringBuilder text, String prefix, Measure measure, double value) {
		text.append(prefix)
			.append(",\"")
			.append(measure.label())
			.append("\",")
			.append(Measure.format(value))
			.append('\n');
	}

	private static String bound(Measure measure, Comparison comparison) {
		RunResult result = comparison.results().get(PolicyKind.PLANNERS);
		return measure.boundOf(result).isPresent() ? Measure.format(measure.boundOf(result).getAsDouble()) : "";
	}

}
