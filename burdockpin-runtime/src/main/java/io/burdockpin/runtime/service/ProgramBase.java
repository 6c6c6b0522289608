package io.burdockpin.runtime.service;

import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.runtime.settings.SettingsException;
import io.burdockpin.runtime.settings.SettingsLoader;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.apache.pekko.actor.typed.Behavior;

/**
 * Base class of the long-running programs: command line, settings, actor system and
 * graceful stop on SIGTERM. Confined to the main thread.
 *
 * @param <S> type of the settings
 */
public abstract class ProgramBase<S> {

	private final String programName;

	private final Class<S> settingsType;

	private final SettingsLoader settingsLoader;

	/**
	 * Creates a program.
	 * @param programName the name on the command line
	 * @param settingsType the type the settings file is bound to
	 * @param settingsLoader reads settings files
	 */
	protected ProgramBase(String programName, Class<S> settingsType, SettingsLoader settingsLoader) {
		this.programName = programName;
		this.settingsType = settingsType;
		this.settingsLoader = settingsLoader;
	}

	// life cycle

	/**
	 * Runs the program until it ends.
	 * @param args the command line
	 * @return the exit status
	 */
	public final ExitStatus run(String[] args) {
		return ActorSystemRunner.run(this.programName, canReload(), (runner) -> runFromCommandLine(args, runner));
	}

	/**
	 * Creates the behavior of the root guardian. The guardian completes {@code exit} if
	 * it stops on its own, for example with {@link ExitStatus#ADDRESS_UNAVAILABLE}.
	 * @param settings the checked settings
	 * @param exit the exit status of the program
	 * @return the behavior
	 */
	protected abstract Behavior<GuardianCommand> createGuardian(S settings, CompletableFuture<ExitStatus> exit);

	/**
	 * Adds program-specific arguments.
	 * @param parser the parser to extend
	 */
	protected void addArguments(ArgumentParser parser) {
	}

	/**
	 * Checks the files that the settings refer to, on start and for
	 * {@code --check-settings}.
	 * @param settings the checked settings
	 * @throws SettingsException if a file cannot be used
	 */
	protected void checkFiles(S settings) {
	}

	/**
	 * Returns whether the guardian reloads the settings on SIGHUP. Otherwise SIGHUP ends
	 * the process, as is the default.
	 * @return whether the guardian handles {@link GuardianCommand.Reload}
	 */
	protected boolean canReload() {
		return false;
	}

	/**
	 * Runs a one-time action instead of the service, if the command line requests one.
	 * @param arguments the parsed command line
	 * @param settings the checked settings
	 * @return {@code true} if an action was run and the program should exit with success
	 */
	protected boolean runOneTimeAction(Namespace arguments, S settings) {
		return false;
	}

	// helpers

	private ExitStatus runFromCommandLine(String[] args, ActorSystemRunner runner) {
		ArgumentParser parser = createParser();
		try {
			Namespace arguments = parser.parseArgs(args);
			return runWith(arguments, runner);
		}
		catch (ArgumentParserException ex) {
			parser.handleError(ex);
			return ExitStatus.USAGE;
		}
		catch (SettingsException ex) {
			printError(ex);
			return ExitStatus.BAD_SETTINGS;
		}
		catch (StartupException ex) {
			printError(ex);
			return ex.getExitStatus();
		}
	}

	private ArgumentParser createParser() {
		ArgumentParser parser = ArgumentParsers.newFor(this.programName)
			.terminalWidthDetection(false)
			.build()
			.defaultHelp(true);
		parser.version(this.programName + " " + programVersion());
		parser.addArgument("--version").action(Arguments.version());
		parser.addArgument("--settings").metavar("FILE").help("settings file, JSON with comments");
		parser.addArgument("--check-settings")
			.dest("checkSettings")
			.metavar("FILE")
			.help("check a settings file, print the effective settings and exit");
		addArguments(parser);
		return parser;
	}

	private ExitStatus runWith(Namespace arguments, ActorSystemRunner runner) {
		String checkedFile = arguments.getString("checkSettings");
		if (checkedFile != null) {
			S settings = this.settingsLoader.load(Path.of(checkedFile), this.settingsType);
			checkFiles(settings);
			System.out.println(this.settingsLoader.print(settings));
			return ExitStatus.SUCCESS;
		}
		String file = arguments.getString("settings");
		if (file == null) {
			System.err.println(this.programName + ": --settings FILE is required");
			return ExitStatus.USAGE;
		}
		S settings = this.settingsLoader.load(Path.of(file), this.settingsType);
		checkFiles(settings);
		if (runOneTimeAction(arguments, settings)) {
			return ExitStatus.SUCCESS;
		}
		return runner.runSystem("burdockpin", (exit) -> createGuardian(settings, exit), ActorConfiguration.load());
	}

	private void printError(BurdockException ex) {
		System.err.println(this.programName + ": " + ex.getCode() + ": " + ex.getMessage());
	}

	private String programVersion() {
		String version = getClass().getPackage().getImplementationVersion();
		return (version != null) ? version : "development";
	}

}
