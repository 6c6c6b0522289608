package io.burdockpin.systemtest.batch;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A control or entry process, started with the command of the deployment. Used by one
 * thread.
 */
final class BatchProcess {

	private static final Pattern FIELDS = Pattern.compile("\\{\\{([^}]*)}}");

	private static final String DEPLOYED_SETTINGS = "/etc/burdockpin/settings.toml";

	private final Path programs;

	private final String role;

	private final String name;

	private final Path settings;

	private final Path log;

	private final Map<String, String> values;

	/** Replaces the largest heap of the deployment's command, if present. */
	private final Optional<Integer> heapMegabytes;

	private Optional<Process> process = Optional.empty();

	private String firstStart = "true";

	BatchProcess(Path programs, Path folder, String role, String name, Map<String, String> values,
			Optional<Integer> heapMegabytes) {
		this.programs = programs;
		this.role = role;
		this.name = name;
		this.settings = folder.resolve(name + ".settings");
		this.log = folder.resolve(name + ".log");
		this.values = values;
		this.heapMegabytes = heapMegabytes;
	}

	// life cycle

	void ensureRunning() {
		if (isAlive()) {
			return;
		}
		try {
			String template = Files.readString(this.programs.resolve(deployed("template")));
			Files.writeString(this.settings, FIELDS.matcher(template)
				.replaceAll((field) -> Matcher.quoteReplacement(
						field.group(1).equals("initialStart") ? this.firstStart : this.values.get(field.group(1)))));
			ProcessBuilder builder = new ProcessBuilder(command()).directory(this.programs.toFile())
				.redirectErrorStream(true)
				.redirectOutput(ProcessBuilder.Redirect.appendTo(this.log.toFile()));
			builder.environment().put("BURDOCKPIN_NODE_FILE", this.settings.toString());
			this.process = Optional.of(builder.start());
			this.firstStart = "false";
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	void kill() {
		this.process.ifPresent((running) -> {
			running.destroyForcibly();
			running.onExit().join();
		});
	}

	void signal(String signal) {
		this.process.filter(Process::isAlive).ifPresent((running) -> {
			try {
				new ProcessBuilder("kill", "-" + signal, Long.toString(running.pid())).start().onExit().join();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		});
	}

	// access

	boolean isAlive() {
		return this.process.filter(Process::isAlive).isPresent();
	}

	long pid() {
		return this.process.orElseThrow().pid();
	}

	List<String> logLines(Pattern pattern) {
		try (Stream<String> lines = Files.exists(this.log) ? Files.lines(this.log) : Stream.empty()) {
			return lines.filter((line) -> pattern.matcher(line).find()).map((line) -> this.name + " " + line).toList();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	// helpers

	private List<String> command() throws IOException {
		String run = deployed("run").replace(DEPLOYED_SETTINGS, this.settings.toString());
		return List.of(this.heapMegabytes.map((heap) -> run.replaceFirst("-Xmx\\d+m", "-Xmx" + heap + "m"))
			.orElse(run)
			.split(" "));
	}

	// Returns a field of the role in the deployment.
	private String deployed(String field) throws IOException {
		Matcher value = Pattern.compile("(?s)\\[roles\\." + this.role + "].*?\\s" + field + " = \"([^\"]*)\"")
			.matcher(Files.readString(this.programs.resolve("deploy/system.toml")));
		if (!value.find()) {
			throw new IOException("The deployment has no field " + field + " of role " + this.role);
		}
		return value.group(1);
	}

}
