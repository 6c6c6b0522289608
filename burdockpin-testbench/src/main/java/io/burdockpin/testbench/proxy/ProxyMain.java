package io.burdockpin.testbench.proxy;

import java.util.concurrent.CompletableFuture;

import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.GuardianCommand;
import io.burdockpin.testbench.program.EndPoint;
import io.burdockpin.testbench.program.TestbenchProgram;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.apache.pekko.actor.typed.Behavior;

/** Command line of the fault proxy. */
public final class ProxyMain extends TestbenchProgram {

	private ProxyMain() {
		super("fault-proxy");
	}

	/**
	 * Runs the fault proxy.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		System.exit(new ProxyMain().run(args).status());
	}

	@Override
	protected void addArguments(ArgumentParser parser) {
		parser.description("TCP proxy with faults, switched by POST /fault/NAME on the control address.");
		parser.addArgument("--listen").required(true).help("ip:port for connections");
		parser.addArgument("--target").required(true).help("ip:port to connect to");
		parser.addArgument("--control-address").dest("controlAddress").required(true).help("ip:port for switches");
	}

	@Override
	protected Behavior<GuardianCommand> createGuardian(Namespace arguments, CompletableFuture<ExitStatus> exit) {
		return ProxyGuardian.create(EndPoint.parse(arguments.getString("listen")),
				EndPoint.parse(arguments.getString("target")), EndPoint.parse(arguments.getString("controlAddress")),
				exit);
	}

}
