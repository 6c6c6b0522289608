package io.burdockpin.operator.action;

import java.util.List;

import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.operator.client.OperatorClient;
import io.burdockpin.operator.output.Report;
import io.burdockpin.operator.output.Table;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** What operators do with teams, their shares and their limits. */
enum TeamAction implements Action {

	LIST("list teams with share and upper limit") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			OperatorReply.Answered answer = Fleet.askConfiguration(client);
			return Report.ofTable(new Table(List.of("team", "share", "limit", "minimumMillicores", "version"),
					Fleet.configuration(answer)
						.teams()
						.stream()
						.map((team) -> List.<Object>of(team.spec().name().value(), team.spec().shareWeight(),
								team.spec().upperLimit(), team.spec().minimumCapacityMillicores(), team.version()))
						.toList()),
					answer);
		}
	},

	CREATE("create a team") {
		@Override
		public void addArguments(ArgumentParser parser) {
			addTeamArguments(parser);
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return Report.ofChange("team " + arguments.text("team"),
					client.change(new ConfigurationCommand.CreateTeam(spec(arguments))));
		}
	},

	UPDATE("replace share and limits of a team") {
		@Override
		public void addArguments(ArgumentParser parser) {
			addTeamArguments(parser);
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return Report.ofChange("team " + arguments.text("team"),
					client.change(new ConfigurationCommand.UpdateTeam(spec(arguments))));
		}
	},

	DELETE("delete a team that has no jobs left") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("team");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return Report.ofChange("team " + arguments.text("team"),
					client.change(new ConfigurationCommand.DeleteTeam(new TeamName(arguments.text("team")))));
		}
	};

	private final String help;

	TeamAction(String help) {
		this.help = help;
	}

	@Override
	public String help() {
		return this.help;
	}

	private static void addTeamArguments(ArgumentParser parser) {
		parser.addArgument("team");
		parser.addArgument("--share").type(Integer.class).required(true).help("weight when everything is full");
		parser.addArgument("--limit").type(Integer.class).required(true).help("most requests and jobs at once");
		parser.addArgument("--minimum-millicores")
			.dest("minimumMillicores")
			.type(Integer.class)
			.setDefault(0)
			.help("capacity that stays in service for it during planned stops");
	}

	private static TeamSpec spec(Arguments arguments) {
		return new TeamSpec(new TeamName(arguments.text("team")), arguments.number("share"), arguments.number("limit"),
				arguments.number("minimumMillicores"));
	}

}
