package io.burdockpin.testbench.program;

import java.util.concurrent.CompletableFuture;

import com.typesafe.config.Config;
import com.typesafe.config.ConfigFactory;
import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.runtime.service.ActorConfiguration;
import io.burdockpin.runtime.service.ActorSystemRunner;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.GuardianCommand;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.apache.pekko.actor.typed.Behavior;

/**
 * Base of the testbench programs, which take all their settings from the command line.
 * Used by the main thread.
 */
public abstract class TestbenchProgram {

	/**
	 * The load tool keeps many requests in flight; late answers come after the deadline.
	 */
	private static final String CONFIGURATION = """
			pekko.http.server.request-timeout = infinite
			pekko.http.server.idle-timeout = 120s
			pekko.http.client.idle-timeout = 120s
			pekko.http.host-connection-pool.max-connections = 1024
			pekko.http.host-connection-pool.max-open-requests = 16384
			pekko.http.host-connection-pool.base-connection-backoff = 0s
			pekko.http.host-connection-pool.idle-timeout = 20s
			""";

	private final String programName;

	/**
	 * Creates a program.
	 * @param programName the name on the command line
	 */
	protected TestbenchProgram(String programName) {
		this.programName = programName;
	}

	// life cycle

	/**
	 * Runs the program until it ends.
	 * @param args the command line
	 * @return the exit status
	 */
	public final ExitStatus run(String[] args) {
		return ActorSystemRunner.run(this.programName, false, (runner) -> runFromCommandLine(args, runner));
	}

	/**
	 * Returns the configuration of the actor system.
	 * @return the configuration
	 */
	public static Config actorConfiguration() {
		return ConfigFactory.parseString(CONFIGURATION).withFallback(ActorConfiguration.load());
	}

	/**
	 * Adds the arguments of the program.
	 * @param parser the parser to extend
	 */
	protected abstract void addArguments(ArgumentParser parser);

	/**
	 * Creates the behavior of the root guardian.
	 * @param arguments the parsed command line
	 * @param exit the exit status of the program
	 * @return the behavior
	 */
	protected abstract Behavior<GuardianCommand> createGuardian(Namespace arguments,
			CompletableFuture<ExitStatus> exit);

	// helpers

	private ExitStatus runFromCommandLine(String[] args, ActorSystemRunner runner) {
		ArgumentParser parser = ArgumentParsers.newFor(this.programName).build().defaultHelp(true);
		addArguments(parser);
		try {
			Namespace arguments = parser.parseArgs(args);
			return runner.runSystem("testbench", (exit) -> createGuardian(arguments, exit), actorConfiguration());
		}
		catch (ArgumentParserException ex) {
			parser.handleError(ex);
			return ExitStatus.USAGE;
		}
		catch (BurdockException ex) {
			System.err.println(this.programName + ": " + ex.getCode() + ": " + ex.getMessage());
			return ExitStatus.USAGE;
		}
	}

}
