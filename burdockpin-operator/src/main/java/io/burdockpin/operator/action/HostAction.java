package io.burdockpin.operator.action;

import java.util.List;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import io.burdockpin.core.state.ChangeCause;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.operator.client.OperatorClient;
import io.burdockpin.operator.output.Report;
import io.burdockpin.operator.output.Table;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** What operators do with hosts. */
enum HostAction implements Action {

	LIST("list hosts with their pool, state and, while they are lent, home pool") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("--pool").help("only hosts of this pool");
			parser.addArgument("--state").help("only hosts in this state");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			OperatorReply.Answered answer = Fleet.askConfiguration(client);
			return Report.ofTable(new Table(
					List.of("host", "pool", "state", "dataCentre", "rack", "millicores", "memoryMebibytes",
							"accelerators", "version", "homePool"),
					Fleet.configuration(answer)
						.hosts()
						.stream()
						.filter((host) -> matches(host, arguments))
						.map(HostAction::row)
						.toList()),
					answer);
		}
	},

	ADD("add a host to a pool") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("host");
			parser.addArgument("--pool").required(true);
			parser.addArgument("--data-centre").dest("dataCentre").required(true);
			parser.addArgument("--rack").required(true);
			parser.addArgument("--millicores").type(Integer.class).required(true);
			parser.addArgument("--memory-mebibytes").dest("memoryMebibytes").type(Integer.class).required(true);
			parser.addArgument("--accelerators").type(Integer.class).setDefault(0);
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			Resources capacity = new Resources(arguments.number("millicores"), arguments.number("memoryMebibytes"),
					arguments.number("accelerators"));
			HostSpec spec = new HostSpec(host(arguments), new DataCentre(arguments.text("dataCentre")),
					new Rack(arguments.text("rack")), capacity);
			return changed(client, arguments,
					new ConfigurationCommand.AddHost(spec, new PoolName(arguments.text("pool"))));
		}
	},

	MOVE("move a drained host to another pool") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("host");
			parser.addArgument("--pool").required(true).help("the pool it joins");
			parser.addArgument("--force")
				.action(net.sourceforge.argparse4j.impl.Arguments.storeTrue())
				.help("move it although it still runs jobs");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return changed(client, arguments, new ConfigurationCommand.MoveHost(host(arguments),
					new PoolName(arguments.text("pool")), arguments.flag("force")));
		}
	},

	DRAIN("take no new jobs on a host and let its jobs end or move") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return setState(client, arguments, HostState.DRAINING);
		}
	},

	MAINTAIN("state that a drained host is being worked on") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return setState(client, arguments, HostState.IN_MAINTENANCE);
		}
	},

	CHECK("state that a host has come back and is being checked") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return setState(client, arguments, HostState.RETURNING);
		}
	},

	RETURN("put a host back in service") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return setState(client, arguments, HostState.IN_SERVICE);
		}
	},

	REMOVE("remove a host that runs no jobs") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return changed(client, arguments, new ConfigurationCommand.RemoveHost(host(arguments)));
		}
	},

	FORGET("declare an entry host destroyed, so that its tokens become free") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			OperatorReply reply = client.send(new OperatorRequest.ForgetHolder(client.requestId(), host(arguments)));
			return Report.ofChange("host " + arguments.text("host"), (OperatorReply.Changed) reply);
		}
	};

	private final String help;

	HostAction(String help) {
		this.help = help;
	}

	@Override
	public String help() {
		return this.help;
	}

	@Override
	public void addArguments(ArgumentParser parser) {
		parser.addArgument("host");
	}

	private static HostName host(Arguments arguments) {
		return new HostName(arguments.text("host"));
	}

	private static Report setState(OperatorClient client, Arguments arguments, HostState state) {
		return changed(client, arguments,
				new ConfigurationCommand.SetHostState(host(arguments), state, ChangeCause.OPERATOR));
	}

	private static Report changed(OperatorClient client, Arguments arguments, ConfigurationCommand command) {
		return Report.ofChange("host " + arguments.text("host"), client.change(command));
	}

	private static boolean matches(HostRecord host, Arguments arguments) {
		return arguments.optional("pool").map(host.pool().value()::equals).orElse(true)
				&& arguments.optional("state").map(host.state().name()::equalsIgnoreCase).orElse(true);
	}

	private static List<Object> row(HostRecord host) {
		HostSpec spec = host.spec();
		return List.of(spec.name().value(), host.pool().value(), host.state().name(), spec.dataCentre().value(),
				spec.rack().value(), spec.capacity().cpuMillicores(), spec.capacity().memoryMebibytes(),
				spec.capacity().accelerators(), host.version(), host.homePool().map(PoolName::value).orElse(""));
	}

}
