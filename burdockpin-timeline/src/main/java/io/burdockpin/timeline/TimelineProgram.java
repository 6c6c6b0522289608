package io.burdockpin.timeline;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.event.EventField;
import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.timeline.check.BrokenPromise;
import io.burdockpin.timeline.check.CheckSettings;
import io.burdockpin.timeline.check.PromiseCheck;
import io.burdockpin.timeline.model.EventFileReader;
import io.burdockpin.timeline.model.EventFilter;
import io.burdockpin.timeline.model.Timeline;
import io.burdockpin.timeline.output.OutputFormat;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/**
 * The binary {@code burdock-timeline}: merges event files, shows them and marks broken
 * promises. Promises are checked on all events, before the filter. Used by the main
 * thread.
 */
public final class TimelineProgram {

	/** Done. */
	static final int SUCCESS = 0;

	/** A broken promise was found and {@code --check} was given. */
	static final int BROKEN = 1;

	/** Wrong command line. */
	static final int USAGE = 2;

	/** A file could not be read or written. */
	static final int FILE = 3;

	private final PrintStream output;

	private final PrintStream errors;

	TimelineProgram(PrintStream output, PrintStream errors) {
		this.output = output;
		this.errors = errors;
	}

	// life cycle

	/**
	 * Runs the program.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(new TimelineProgram(System.out, System.err).run(args));
	}

	int run(String[] args) {
		ArgumentParser parser = createParser();
		try {
			return runWith(parser.parseArgs(args));
		}
		catch (HelpScreenException ex) {
			return SUCCESS;
		}
		catch (ArgumentParserException ex) {
			parser.handleError(ex, new java.io.PrintWriter(this.errors, true));
			return USAGE;
		}
		catch (BurdockException ex) {
			this.errors.println("burdock-timeline: %s: %s".formatted(ex.getCode(), ex.getMessage()));
			return (ex.getCode() == ErrorCode.BAD_REQUEST) ? USAGE : FILE;
		}
	}

	// helpers

	private static ArgumentParser createParser() {
		ArgumentParser parser = ArgumentParsers.newFor("burdock-timeline")
			.build()
			.defaultHelp(true)
			.description("Merges the event files of all processes and marks broken promises.")
			.epilog("Exit status: 0 done, 1 broken promises with --check, 2 wrong command line, 3 file.");
		parser.version(
				"burdock-timeline " + Optional.ofNullable(TimelineProgram.class.getPackage().getImplementationVersion())
					.orElse("development"));
		parser.addArgument("--version").action(Arguments.version());
		parser.addArgument("file").nargs("+").help("event files");
		for (EventField field : List.of(EventField.JOB, EventField.TEAM, EventField.REQUEST)) {
			parser.addArgument("--" + field.jsonName()).help("only events of this " + field.jsonName());
		}
		parser.addArgument("--host").help("only events of or about this host");
		parser.addArgument("--kind").nargs("+").help("only events of these kinds");
		parser.addArgument("--from").metavar("TIME").help("earliest time, for example 2026-12-04T08:00:00Z");
		parser.addArgument("--to").metavar("TIME").help("latest time");
		parser.addArgument("--format")
			.type(Arguments.caseInsensitiveEnumType(OutputFormat.class))
			.setDefault(OutputFormat.TEXT);
		parser.addArgument("--output").metavar("FILE").help("write to a file");
		parser.addArgument("--withdrawal-bound-ms")
			.dest("withdrawalBoundMillis")
			.type(Long.class)
			.setDefault(CheckSettings.DEFAULT.withdrawalBoundMillis())
			.help("how long a withdrawn key may still be accepted elsewhere");
		parser.addArgument("--clock-difference-ms")
			.dest("clockDifferenceMillis")
			.type(Long.class)
			.setDefault(CheckSettings.DEFAULT.clockDifferenceMillis())
			.help("how far the clocks of two hosts may differ");
		parser.addArgument("--check").action(Arguments.storeTrue()).help("end with status 1 on a broken promise");
		return parser;
	}

	private int runWith(Namespace arguments) {
		EventFilter filter = filter(arguments);
		EventFileReader reader = new EventFileReader();
		Timeline timeline = reader.read(arguments.<String>getList("file").stream().map(Path::of).toList());
		reader.skippedLines().forEach((line) -> this.errors.println("burdock-timeline: skipped " + line));
		List<BrokenPromise> broken = PromiseCheck.findAll(timeline.events(),
				CheckSettings.DEFAULT.withWithdrawalBoundMillis(arguments.getLong("withdrawalBoundMillis"))
					.withClockDifferenceMillis(arguments.getLong("clockDifferenceMillis")));
		OutputFormat format = arguments.get("format");
		write(format.write(timeline.filter(filter), broken), arguments.getString("output"));
		return (arguments.getBoolean("check") && !broken.isEmpty()) ? BROKEN : SUCCESS;
	}

	private void write(String document, String file) {
		if (file == null) {
			this.output.print(document);
			return;
		}
		try {
			Files.writeString(Path.of(file), document);
		}
		catch (IOException ex) {
			throw new TimelineException(ErrorCode.STORAGE_FAILED, "%s cannot be written: %s".formatted(file, ex), ex);
		}
	}

	private static EventFilter filter(Namespace arguments) {
		Map<EventField, String> fields = new EnumMap<>(EventField.class);
		for (EventField field : List.of(EventField.JOB, EventField.TEAM, EventField.REQUEST)) {
			Optional.ofNullable(arguments.getString(field.jsonName())).ifPresent((value) -> fields.put(field, value));
		}
		List<String> kinds = arguments.getList("kind");
		return new EventFilter(fields, Optional.ofNullable(arguments.getString("host")),
				(kinds != null) ? kinds : List.of(), millis(arguments.getString("from"), 0),
				millis(arguments.getString("to"), Long.MAX_VALUE));
	}

	private static long millis(String time, long defaultMillis) {
		try {
			return (time != null) ? Instant.parse(time).toEpochMilli() : defaultMillis;
		}
		catch (DateTimeParseException ex) {
			throw new TimelineException(ErrorCode.BAD_REQUEST,
					"time \"%s\" is not of the form 2026-12-04T08:00:00Z".formatted(time), ex);
		}
	}

}
