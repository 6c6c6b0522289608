package io.burdockpin.systemtest.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.burdockpin.testbench.program.ProgramProcess;

/** Starts a program that is expected to refuse its start. Owned by one test. */
public final class StartAttempt {

	private final Path folder;

	private final String name;

	private final ProgramProcess process;

	/**
	 * Prepares a start.
	 * @param folder holds settings and output
	 * @param name names the files
	 * @param mainClass the program
	 * @param settings its settings
	 * @param arguments further arguments
	 */
	public StartAttempt(Path folder, String name, Class<?> mainClass, Map<String, Object> settings,
			String... arguments) {
		this.folder = folder;
		this.name = name;
		Path file = SettingsFile.write(folder, name, settings);
		List<String> all = new ArrayList<>(List.of("--settings", file.toString()));
		all.addAll(List.of(arguments));
		this.process = new ProgramProcess(name, folder, mainClass, all);
	}

	/**
	 * Starts the program and waits until it has ended.
	 * @return its exit status
	 */
	public int run() {
		this.process.start();
		return this.process.awaitEnd();
	}

	/**
	 * Returns what the program printed.
	 * @return standard output and error
	 */
	public String output() {
		try {
			return Files.readString(this.folder.resolve(this.name + ".log"));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
