package io.burdockpin.testbench.program;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;

/**
 * A program in a JVM of its own with the options of the launchers, which can be killed,
 * frozen and started again. Ends with this JVM at the latest. Owned by one test or
 * benchmark and used by one thread.
 */
public final class ProgramProcess implements AutoCloseable {

	private static final List<String> JAVA = List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
			"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms8m", "-Xmx64m", "-XX:MaxDirectMemorySize=32m",
			"-XX:-UsePerfData", "-XX:+ExitOnOutOfMemoryError", "-cp", System.getProperty("java.class.path"));

	private static final long LONGEST_END_SECONDS = 90;

	private final String name;

	private final List<String> command;

	private final Path output;

	private Optional<Process> process = Optional.empty();

	/**
	 * Prepares a program.
	 * @param name names the log file
	 * @param folder holds the log file
	 * @param mainClass the program
	 * @param arguments its command line
	 */
	public ProgramProcess(String name, Path folder, Class<?> mainClass, List<String> arguments) {
		this.name = name;
		this.command = new ArrayList<>(JAVA);
		this.command.add(mainClass.getName());
		this.command.addAll(arguments);
		this.output = folder.resolve(name + ".log");
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	// life cycle

	/** Starts the program, again if it has ended. */
	public void start() {
		this.process = Optional.of(launch(this.command));
	}

	/**
	 * Starts the program with a limit on the size of its files, as a full disk would set
	 * it.
	 * @param blocks the limit in blocks of 512 bytes
	 */
	public void startWithFileLimit(int blocks) {
		List<String> limited = new ArrayList<>(
				List.of("/bin/sh", "-c", "ulimit -f " + blocks + " && exec \"$@\"", "sh"));
		limited.addAll(this.command);
		this.process = Optional.of(launch(limited));
	}

	/**
	 * Runs the program to its end with further arguments.
	 * @param extraArguments the arguments
	 * @throws IllegalStateException if it ends with a status other than 0
	 */
	public void runOnce(String... extraArguments) {
		List<String> once = new ArrayList<>(this.command);
		once.addAll(List.of(extraArguments));
		this.process = Optional.of(launch(once));
		int status = awaitEnd();
		if (status != 0) {
			throw new IllegalStateException(
					"%s %s ended with status %d".formatted(this.name, List.of(extraArguments), status));
		}
	}

	/** Sends SIGKILL and waits for the end. */
	public void kill() {
		running().destroyForcibly();
		awaitEnd();
	}

	/**
	 * Sends SIGTERM and waits for the end.
	 * @return the exit status
	 */
	public int terminate() {
		askToEnd();
		return awaitEnd();
	}

	/** Sends SIGTERM. */
	public void askToEnd() {
		running().destroy();
	}

	/** Sends SIGSTOP. */
	public void freeze() {
		signal("-STOP");
	}

	/** Sends SIGCONT. */
	public void resume() {
		signal("-CONT");
	}

	/**
	 * Waits until the program has ended.
	 * @return its exit status
	 */
	public int awaitEnd() {
		try {
			if (!running().waitFor(LONGEST_END_SECONDS, TimeUnit.SECONDS)) {
				throw new IllegalStateException("%s did not end in %d s".formatted(this.name, LONGEST_END_SECONDS));
			}
			return running().exitValue();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

	@Override
	public void close() {
		this.process.ifPresent(Process::destroyForcibly);
	}

	// access

	/**
	 * Tells whether the program runs.
	 * @return {@code false} before its start and after its end
	 */
	public boolean isAlive() {
		return this.process.map(Process::isAlive).orElse(false);
	}

	/**
	 * Returns the identifier of the running process.
	 * @return the process identifier
	 */
	public long processId() {
		return running().pid();
	}

	/**
	 * Returns the processor time of the running process.
	 * @return the time in milliseconds, 0 if the system does not tell
	 */
	public long processorMillis() {
		return running().info().totalCpuDuration().map(Duration::toMillis).orElse(0L);
	}

	/**
	 * Returns the exit status.
	 * @return the status, or nothing while it runs
	 */
	public OptionalInt exitStatus() {
		return (this.process.isPresent() && !isAlive()) ? OptionalInt.of(running().exitValue()) : OptionalInt.empty();
	}

	/**
	 * Returns what the program printed in all its incarnations.
	 * @return the text
	 */
	public String output() {
		try {
			return Files.readString(this.output);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// helpers

	private Process running() {
		return this.process.orElseThrow(() -> new IllegalStateException(this.name + " was never started"));
	}

	private Process launch(List<String> commandLine) {
		try {
			return new ProcessBuilder(commandLine).redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(this.output.toFile()))
				.start();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void signal(String signal) {
		try {
			new ProcessBuilder("kill", signal, Long.toString(running().pid())).inheritIO().start().waitFor();
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
