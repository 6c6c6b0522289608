package io.burdockpin.testbench.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
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

/** Command line of the load tool. */
public final class LoadMain extends TestbenchProgram {

	private LoadMain() {
		super("load");
	}

	/**
	 * Runs the load tool.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(new LoadMain().run(args).status());
	}

	@Override
	protected void addArguments(ArgumentParser parser) {
		parser.description("Sends requests, bounded in count and time, and checks each answer.");
		parser.addArgument("--entry").nargs("+").required(true).help("ip:port of the entry hosts");
		parser.addArgument("--queue").nargs("+").required(true);
		parser.addArgument("--key-file").dest("keyFile").help("file with the team key");
		parser.addArgument("--repeatable").action(Arguments.storeTrue());
		parser.addArgument("--loop")
			.type(Arguments.caseInsensitiveEnumType(LoadLoop.class))
			.setDefault(LoadLoop.CLOSED);
		parser.addArgument("--concurrency").type(Integer.class).setDefault(8);
		parser.addArgument("--rate").type(Double.class).setDefault(50.0).help("mean requests per second and queue");
		parser.addArgument("--shape")
			.type(Arguments.caseInsensitiveEnumType(DemandShape.class))
			.setDefault(DemandShape.CONSTANT);
		parser.addArgument("--turn-ms").dest("turnMillis").type(Long.class).setDefault(3000L);
		parser.addArgument("--count").type(Integer.class).setDefault(1000);
		parser.addArgument("--seconds").type(Integer.class).setDefault(10);
		parser.addArgument("--body-bytes").dest("bodyBytes").type(Integer.class).setDefault(256);
		parser.addArgument("--timeout-ms").dest("timeoutMillis").type(Long.class).setDefault(30000L);
	}

	@Override
	protected Behavior<GuardianCommand> createGuardian(Namespace arguments, CompletableFuture<ExitStatus> exit) {
		return LoadGuardian.create(settings(arguments), exit);
	}

	private static LoadSettings settings(Namespace arguments) {
		return new LoadSettings(arguments.<String>getList("entry").stream().map(EndPoint::parse).toList(),
				arguments.getList("queue"), Optional.ofNullable(arguments.getString("keyFile")).map(LoadMain::readKey),
				arguments.getBoolean("repeatable"), arguments.get("loop"), arguments.getInt("concurrency"),
				arguments.getDouble("rate"), arguments.get("shape"), arguments.getLong("turnMillis"),
				arguments.getInt("count"), arguments.getInt("seconds") * 1000L, arguments.getInt("bodyBytes"),
				arguments.getLong("timeoutMillis"));
	}

	private static String readKey(String file) {
		try {
			return Files.readString(Path.of(file)).strip();
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
