package io.burdockpin.systemtest.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.burdockpin.testbench.program.ProgramProcess;

/** A stand-in worker in its own process, with its record of jobs. Owned by one test. */
public final class StandInWorker {

	private final ProgramProcess process;

	private final Path jobFile;

	StandInWorker(ProgramProcess process, Path jobFile) {
		this.process = process;
		this.jobFile = jobFile;
	}

	// access

	/**
	 * Returns the process.
	 * @return the process
	 */
	public ProgramProcess process() {
		return this.process;
	}

	/**
	 * Reads the starts of a job.
	 * @param job the job
	 * @return the times of its starts in milliseconds since 1970
	 */
	public List<Long> startsOf(String job) {
		return lines().stream()
			.map((line) -> line.split(" "))
			.filter((fields) -> fields[1].equals("START") && fields[2].equals(job))
			.map((fields) -> Long.parseLong(fields[0]))
			.toList();
	}

	/**
	 * Counts the starts of all jobs.
	 * @return the number of starts, also of the same job
	 */
	public int startCount() {
		return (int) lines().stream().filter((line) -> line.split(" ")[1].equals("START")).count();
	}

	// helpers

	private List<String> lines() {
		try {
			return Files.exists(this.jobFile) ? Files.readAllLines(this.jobFile) : List.of();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
