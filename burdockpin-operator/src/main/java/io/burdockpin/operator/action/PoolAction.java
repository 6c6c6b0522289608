package io.burdockpin.operator.action;

import java.util.List;

import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.PoolRecord;
import io.burdockpin.operator.client.OperatorClient;
import io.burdockpin.operator.output.Report;
import io.burdockpin.operator.output.Table;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** What operators do with pools. */
enum PoolAction implements Action {

	LIST("list all pools with their budgets") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			OperatorReply.Answered answer = Fleet.askConfiguration(client);
			ConfigurationSnapshot configuration = Fleet.configuration(answer);
			return Report
				.ofTable(
						new Table(
								List.of("pool", "hosts", "minimumInServicePercent", "maximumHostsOut",
										"maximumRacksOut", "spare", "version"),
								configuration.pools().stream().map((pool) -> row(pool, configuration)).toList()),
						answer);
		}
	},

	CREATE("create a pool without hosts") {
		@Override
		public void addArguments(ArgumentParser parser) {
			addPoolArguments(parser);
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return Report.ofChange("pool " + arguments.text("pool"), client.change(
					new ConfigurationCommand.CreatePool(pool(arguments), budget(arguments), arguments.flag("spare"))));
		}
	},

	UPDATE("replace the budget of a pool") {
		@Override
		public void addArguments(ArgumentParser parser) {
			addPoolArguments(parser);
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return Report.ofChange("pool " + arguments.text("pool"), client.change(
					new ConfigurationCommand.UpdatePool(pool(arguments), budget(arguments), arguments.flag("spare"))));
		}
	},

	DELETE("delete a pool that has no hosts") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("pool");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return Report.ofChange("pool " + arguments.text("pool"),
					client.change(new ConfigurationCommand.DeletePool(pool(arguments))));
		}
	};

	private final String help;

	PoolAction(String help) {
		this.help = help;
	}

	@Override
	public String help() {
		return this.help;
	}

	private static void addPoolArguments(ArgumentParser parser) {
		parser.addArgument("pool");
		parser.addArgument("--minimum-in-service-percent")
			.dest("minimumInServicePercent")
			.type(Integer.class)
			.setDefault(AvailabilityBudget.DEFAULT.minimumInServicePercent())
			.help("share of the hosts that stays in service during planned stops");
		parser.addArgument("--maximum-hosts-out")
			.dest("maximumHostsOut")
			.type(Integer.class)
			.setDefault(AvailabilityBudget.DEFAULT.maximumHostsOut());
		parser.addArgument("--maximum-racks-out")
			.dest("maximumRacksOut")
			.type(Integer.class)
			.setDefault(AvailabilityBudget.DEFAULT.maximumRacksOut());
		parser.addArgument("--spare")
			.action(net.sourceforge.argparse4j.impl.Arguments.storeTrue())
			.help("its hosts may be lent to other pools");
	}

	private static PoolName pool(Arguments arguments) {
		return new PoolName(arguments.text("pool"));
	}

	private static AvailabilityBudget budget(Arguments arguments) {
		return new AvailabilityBudget(arguments.number("minimumInServicePercent"), arguments.number("maximumHostsOut"),
				arguments.number("maximumRacksOut"));
	}

	private static List<Object> row(PoolRecord pool, ConfigurationSnapshot configuration) {
		long hosts = configuration.hosts().stream().filter((host) -> host.pool().equals(pool.name())).count();
		return List.of(pool.name().value(), hosts, pool.budget().minimumInServicePercent(),
				pool.budget().maximumHostsOut(), pool.budget().maximumRacksOut(), pool.spare(), pool.version());
	}

}
