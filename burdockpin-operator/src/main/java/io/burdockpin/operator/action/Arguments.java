package io.burdockpin.operator.action;

import java.util.List;
import java.util.Optional;

import net.sourceforge.argparse4j.inf.Namespace;

/**
 * The parsed command line. Immutable.
 */
public final class Arguments {

	private final Namespace namespace;

	/**
	 * Wraps a parsed command line.
	 * @param namespace what the parser found
	 */
	public Arguments(Namespace namespace) {
		this.namespace = namespace;
	}

	/**
	 * Returns a value that the parser requires.
	 * @param name the name of the argument
	 * @return the value
	 */
	public String text(String name) {
		return optional(name).orElseThrow();
	}

	/**
	 * Returns a value that may be missing.
	 * @param name the name of the argument
	 * @return the value
	 */
	public Optional<String> optional(String name) {
		return Optional.ofNullable(this.namespace.getString(name));
	}

	/**
	 * Returns a whole number.
	 * @param name the name of the argument
	 * @return the number
	 */
	public int number(String name) {
		return this.namespace.getInt(name);
	}

	/**
	 * Returns a long whole number.
	 * @param name the name of the argument
	 * @return the number
	 */
	public long longNumber(String name) {
		return this.namespace.getLong(name);
	}

	/**
	 * Returns a flag.
	 * @param name the name of the argument
	 * @return whether it was given
	 */
	public boolean flag(String name) {
		return Boolean.TRUE.equals(this.namespace.getBoolean(name));
	}

	/**
	 * Returns the values of an argument that takes several.
	 * @param name the name of the argument
	 * @return the values, empty if it was not given
	 */
	public List<String> list(String name) {
		List<String> values = this.namespace.getList(name);
		return (values != null) ? List.copyOf(values) : List.of();
	}

}
