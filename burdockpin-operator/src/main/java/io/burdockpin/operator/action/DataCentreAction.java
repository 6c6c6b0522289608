package io.burdockpin.operator.action;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import io.burdockpin.operator.client.OperatorClient;
import io.burdockpin.operator.client.SchedulerClient;
import io.burdockpin.operator.output.Report;
import io.burdockpin.operator.output.Table;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** What operators do with the data centres of the batch scheduler. */
enum DataCentreAction implements Action {

	LIST("list the data centres, which are closed, and the tasks that are still there") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			List<List<Object>> rows = new ArrayList<>();
			scheduler(arguments).send("GET", PATH)
				.path("dataCentres")
				.forEach((entry) -> rows.add(List.of(entry.path("name").asText(), entry.path("closed").asBoolean(),
						entry.path("sinceMillis").asLong(), entry.path("origin").asText(),
						entry.path("runners").asInt(), entry.path("tasks").asInt())));
			Table table = new Table(List.of("name", "closed", "sinceMillis", "origin", "runners", "tasks"), rows);
			return new Report(table.lines(), table.objects(), List.of());
		}
	},

	CLOSE("start nothing in a data centre until it is opened") {
		@Override
		public void addArguments(ArgumentParser parser) {
			addName(parser);
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return order(arguments, "PUT", "closed");
		}
	},

	OPEN("let tasks start in a closed data centre again") {
		@Override
		public void addArguments(ArgumentParser parser) {
			addName(parser);
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return order(arguments, "DELETE", "opened");
		}
	};

	private static final String PATH = "/operator/v1/data-centres";

	private final String help;

	DataCentreAction(String help) {
		this.help = help;
	}

	@Override
	public String help() {
		return this.help;
	}

	@Override
	public void addArguments(ArgumentParser parser) {
		addScheduler(parser);
	}

	private static void addName(ArgumentParser parser) {
		parser.addArgument("name").help("the name of the data centre");
		addScheduler(parser);
	}

	private static void addScheduler(ArgumentParser parser) {
		parser.addArgument("--scheduler")
			.required(true)
			.metavar("IP:PORT")
			.help("control address of a control process, or readiness address of an entry process");
	}

	private static SchedulerClient scheduler(Arguments arguments) {
		return SchedulerClient.of(arguments.text("scheduler"), arguments.number("timeoutSeconds"));
	}

	private static Report order(Arguments arguments, String method, String done) {
		String name = arguments.text("name");
		JsonNode reply = scheduler(arguments).send(method, PATH + "/" + SchedulerClient.encode(name) + "/closing");
		return new Report(List.of("data centre %s: %s".formatted(name, done)),
				Map.of("name", name, "state", done, "reply", reply), List.of());
	}

}
