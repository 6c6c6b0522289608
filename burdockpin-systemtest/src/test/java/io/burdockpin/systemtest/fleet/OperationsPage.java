package io.burdockpin.systemtest.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The commands of the operations page, so that tests run what operators read. Stateless.
 */
final class OperationsPage {

	private static final Path PAGE = Path.of("").toAbsolutePath().getParent().resolve("docs/OPERATIONS.md");

	private OperationsPage() {
	}

	/**
	 * Finds a command.
	 * @param program the program
	 * @param start its first words after the program
	 * @return the words after the program, as the page has them
	 */
	static String example(String program, String start) {
		try {
			Matcher matcher = Pattern.compile(Pattern.quote(program) + " (" + Pattern.quote(start) + "[^`\n]*)")
				.matcher(Files.readString(PAGE));
			if (!matcher.find()) {
				throw new AssertionError("the operations page has no command %s %s".formatted(program, start));
			}
			return matcher.group(1);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
