package io.burdockpin.operator.action;

import java.util.Locale;

import io.burdockpin.operator.client.OperatorClient;
import io.burdockpin.operator.output.Report;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Something that an operator does. Implemented by enums, one for each kind of object. */
public interface Action {

	/**
	 * Returns the name of the constant.
	 * @return the name
	 */
	String name();

	/**
	 * Returns the word on the command line.
	 * @return the constant's name in lower case with hyphens
	 */
	default String verb() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	/**
	 * Returns what the action does.
	 * @return a short sentence
	 */
	String help();

	/**
	 * Adds the arguments of the action.
	 * @param parser the parser to extend
	 */
	default void addArguments(ArgumentParser parser) {
	}

	/**
	 * Carries the action out.
	 * @param client calls the entry hosts
	 * @param arguments the parsed command line
	 * @return what to print
	 */
	Report run(OperatorClient client, Arguments arguments);

}
