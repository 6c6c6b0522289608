package io.burdockpin.benchmark.choice;

import java.util.List;

/** Compares the rules at several loads and prints a Markdown table. */
public final class ChoiceBenchmark {

	private static final List<Double> UTILISATIONS = List.of(0.5, 0.7, 0.85);

	private static final long SEED = 20_261_204;

	private ChoiceBenchmark() {
	}

	/**
	 * Runs the comparison.
	 * @param args not used
	 */
	public static void main(String[] args) {
		System.out.println(
				"| load | rule | mean wait ms | p99 ms | p99 ms after recovery | requests to the recovered host |");
		System.out.println("| --- | --- | --- | --- | --- | --- |");
		for (double utilisation : UTILISATIONS) {
			for (ChoiceRule rule : ChoiceRule.values()) {
				System.out.println(new ChoiceRun(rule, utilisation, SEED).run().toMarkdownRow(utilisation));
			}
		}
	}

}
