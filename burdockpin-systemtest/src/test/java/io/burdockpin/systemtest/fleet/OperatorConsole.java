package io.burdockpin.systemtest.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

import io.burdockpin.operator.OperatorProgram;

/**
 * Runs {@code burdockctl} in a process of its own, with the commands of the operations
 * page. Stateless.
 */
public final class OperatorConsole {

	private final String entries;

	/**
	 * Creates a console.
	 * @param entries the entry hosts that it calls, in turn
	 */
	public OperatorConsole(List<EntryHost> entries) {
		this.entries = entries.stream().map((entry) -> entry.httpAddress().toString()).collect(Collectors.joining(","));
	}

	/**
	 * Finds a command on the operations page.
	 * @param start its first words after {@code burdockctl}
	 * @return the command as the page has it
	 */
	public static String example(String start) {
		return OperationsPage.example("burdockctl", start);
	}

	/**
	 * Runs a command.
	 * @param command the words after {@code burdockctl}
	 * @return what it printed
	 */
	public String run(String command) {
		List<String> words = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp", System.getProperty("java.class.path"),
				OperatorProgram.class.getName()));
		words.addAll(List.of(command.split(" +")));
		ProcessBuilder builder = new ProcessBuilder(words).redirectErrorStream(true);
		builder.environment().put("BURDOCK_ENTRY", this.entries);
		try {
			Process process = builder.start();
			String printed = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			if (process.waitFor() != 0) {
				throw new AssertionError(
						"burdockctl %s ended with status %d: %s".formatted(command, process.exitValue(), printed));
			}
			return printed;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

}
