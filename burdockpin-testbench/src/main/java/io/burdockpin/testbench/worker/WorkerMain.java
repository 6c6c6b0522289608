package io.burdockpin.testbench.worker;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.GuardianCommand;
import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.program.TestbenchProgram;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.apache.pekko.actor.typed.Behavior;

/** Command line of the stand-in worker. */
public final class WorkerMain extends TestbenchProgram {

	private WorkerMain() {
		super("standin-worker");
	}

	/**
	 * Runs the stand-in worker.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(new WorkerMain().run(args).status());
	}

	@Override
	protected void addArguments(ArgumentParser parser) {
		parser.description("Stand-in worker: runs jobs as timers, as the JSON payload says.");
		parser.addArgument("--name").required(true);
		parser.addArgument("--control-address").dest("controlAddress").required(true).help("ip:port for switches");
		parser.addArgument("--entry").nargs("+").required(true).help("ip:port of the entry hosts");
		parser.addArgument("--announce-ms").dest("announceMillis").type(Long.class).setDefault(1000L);
		parser.addArgument("--attachment-ms").dest("attachmentMillis").type(Long.class).setDefault(3000L);
		parser.addArgument("--usage-lag-ms").dest("usageLagMillis").type(Long.class).setDefault(5000L);
		parser.addArgument("--job-file").dest("jobFile").help("file for the starts and ends of jobs");
		parser.addArgument("--trust-file")
			.dest("trustFile")
			.help("PEM file with the authorities of the entry hosts; announcements use HTTPS with it");
		parser.addArgument("--behaviour")
			.type(Arguments.caseInsensitiveEnumType(WorkerBehaviour.class))
			.setDefault(WorkerBehaviour.NORMAL);
	}

	@Override
	protected Behavior<GuardianCommand> createGuardian(Namespace arguments, CompletableFuture<ExitStatus> exit) {
		return WorkerGuardian.create(settings(arguments), exit);
	}

	private static WorkerSettings settings(Namespace arguments) {
		return new WorkerSettings(arguments.getString("name"), EndPoint.parse(arguments.getString("controlAddress")),
				arguments.<String>getList("entry").stream().map(EndPoint::parse).toList(),
				arguments.getLong("announceMillis"), arguments.getLong("attachmentMillis"),
				arguments.getLong("usageLagMillis"), Optional.ofNullable(arguments.getString("jobFile")).map(Path::of),
				arguments.get("behaviour"), Optional.ofNullable(arguments.getString("trustFile")).map(Path::of));
	}

}
