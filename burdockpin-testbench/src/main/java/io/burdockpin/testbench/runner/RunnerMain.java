package io.burdockpin.testbench.runner;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.GuardianCommand;
import io.burdockpin.runtime.service.SteadyClock;
import io.burdockpin.runtime.tls.ReloadableTlsIdentity;
import io.burdockpin.runtime.tls.TlsSettings;
import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.program.TestbenchProgram;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.apache.pekko.actor.typed.Behavior;

/** Command line of the stand-in runner. */
public final class RunnerMain extends TestbenchProgram {

	private RunnerMain() {
		super("standin-runner");
	}

	/**
	 * Runs the stand-in runner.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(new RunnerMain().run(args).status());
	}

	@Override
	protected void addArguments(ArgumentParser parser) {
		parser.description("Stand-in upstream: echoes the body of each request after the service time.");
		parser.addArgument("--name").required(true);
		parser.addArgument("--queue").required(true);
		parser.addArgument("--data-centre").dest("dataCentre").required(true);
		parser.addArgument("--address").required(true).help("ip:port for requests");
		parser.addArgument("--control-address").dest("controlAddress").required(true).help("ip:port for switches");
		parser.addArgument("--entry").nargs("+").required(true).help("ip:port of the entry hosts");
		parser.addArgument("--slots").type(Integer.class).setDefault(8);
		parser.addArgument("--connections").type(Integer.class).setDefault(64);
		parser.addArgument("--service-ms").dest("serviceMillis").type(Long.class).setDefault(20L);
		parser.addArgument("--announce-ms").dest("announceMillis").type(Long.class).setDefault(1000L);
		parser.addArgument("--attachment-ms").dest("attachmentMillis").type(Long.class).setDefault(3000L);
		parser.addArgument("--started-file").dest("startedFile").help("file for the started requests");
		parser.addArgument("--trust-file")
			.dest("trustFile")
			.help("PEM file with the authorities of the entry hosts; announcements use HTTPS with it");
		parser.addArgument("--certificate-file")
			.dest("certificateFile")
			.help("PEM file with the certificate of the runner; requests use TLS with it");
		parser.addArgument("--key-file").dest("keyFile").help("PEM file with the key of the certificate");
		parser.addArgument("--behaviour")
			.type(Arguments.caseInsensitiveEnumType(RunnerBehaviour.class))
			.setDefault(RunnerBehaviour.NORMAL);
	}

	@Override
	protected Behavior<GuardianCommand> createGuardian(Namespace arguments, CompletableFuture<ExitStatus> exit) {
		return RunnerGuardian.create(settings(arguments), exit, SteadyClock.ofProcess());
	}

	private static RunnerSettings settings(Namespace arguments) {
		return new RunnerSettings(arguments.getString("name"), arguments.getString("queue"),
				arguments.getString("dataCentre"), EndPoint.parse(arguments.getString("address")),
				EndPoint.parse(arguments.getString("controlAddress")),
				arguments.<String>getList("entry").stream().map(EndPoint::parse).toList(), arguments.getInt("slots"),
				arguments.getInt("connections"), arguments.getLong("serviceMillis"),
				arguments.getLong("announceMillis"), arguments.getLong("attachmentMillis"),
				Optional.ofNullable(arguments.getString("startedFile")).map(Path::of), arguments.get("behaviour"),
				Optional.ofNullable(arguments.getString("trustFile")).map(Path::of), tls(arguments));
	}

	private static Optional<ReloadableTlsIdentity> tls(Namespace arguments) {
		return Optional.ofNullable(arguments.getString("certificateFile"))
			.map((file) -> new TlsSettings(file, arguments.getString("keyFile"), arguments.getString("trustFile"),
					null))
			.map((files) -> new ReloadableTlsIdentity(files, arguments.getString("name")));
	}

}
