package io.burdockpin.runtime.service;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.burdockpin.runtime.log.StopSafeLogManager;
import io.burdockpin.runtime.settings.SettingsLoader;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.Behaviors;

/**
 * Program that waits at one stage of its start until it reads a line, and prints each
 * command that its guardian receives.
 */
public final class StagedProgram extends ProgramBase<StagedProgram.Settings> {

	private StagedProgram() {
		super("staged", Settings.class, new SettingsLoader());
	}

	/**
	 * Runs the program and exits with its status.
	 * @param arguments the command line
	 */
	public static void main(String[] arguments) {
		System.exit(new StagedProgram().run(arguments).status());
	}

	/**
	 * Starts the program in a process of its own.
	 * @param stage where it waits
	 * @param folder for its settings and its output
	 * @return the process, whose output goes to the file {@code output}
	 * @throws IOException if the process cannot be started
	 */
	static Process start(Stage stage, Path folder) throws IOException {
		Path settings = Files.writeString(folder.resolve("settings.json"), "{\"waitAt\": \"" + stage + "\"}");
		// A process started by nohup inherits that SIGHUP is ignored.
		return new ProcessBuilder(List.of("env", "--default-signal=HUP",
				Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Djava.util.logging.manager=" + StopSafeLogManager.class.getName(), "-cp",
				System.getProperty("java.class.path"), StagedProgram.class.getName(), "--settings",
				settings.toString()))
			.redirectErrorStream(true)
			.redirectOutput(folder.resolve("output").toFile())
			.start();
	}

	@Override
	protected boolean canReload() {
		return true;
	}

	@Override
	protected void checkFiles(Settings settings) {
		settings.waitAt().pass(Stage.CHECKING_SETTINGS);
	}

	@Override
	protected Behavior<GuardianCommand> createGuardian(Settings settings, CompletableFuture<ExitStatus> exit) {
		settings.waitAt().pass(Stage.CREATING_GUARDIAN);
		return Behaviors.setup((context) -> {
			settings.waitAt().pass(Stage.STARTING_GUARDIAN);
			return Behaviors.receive(GuardianCommand.class)
				.onMessageEquals(GuardianCommand.Reload.INSTANCE, () -> print("reload", Behaviors.same()))
				.onMessageEquals(GuardianCommand.Stop.INSTANCE, () -> print("stop", Behaviors.stopped()))
				.build();
		});
	}

	private static Behavior<GuardianCommand> print(String command, Behavior<GuardianCommand> next) {
		System.out.println("handled " + command);
		return next;
	}

	/**
	 * Settings of the program.
	 *
	 * @param waitAt where it waits
	 */
	public record Settings(Stage waitAt) {

	}

	/** Stages of a start. */
	enum Stage {

		/** The settings were read and nothing is accepted yet. */
		CHECKING_SETTINGS,

		/** The program may listen on its addresses, before the actor system exists. */
		CREATING_GUARDIAN,

		/** The actor system exists, and its guardian has not handled a message. */
		STARTING_GUARDIAN;

		private void pass(Stage reached) {
			if (this != reached) {
				return;
			}
			System.out.println("waiting at " + this);
			try {
				System.in.read();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

	}

}
