package io.burdockpin.operator.action;

import java.util.List;

import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.operator.client.OperatorClient;
import io.burdockpin.operator.output.Report;
import io.burdockpin.operator.output.Table;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** What operators do with queues. */
enum QueueAction implements Action {

	LIST("list queues") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			OperatorReply.Answered answer = Fleet.askConfiguration(client);
			return Report.ofTable(new Table(List.of("queue", "open", "version"),
					Fleet.configuration(answer)
						.queues()
						.stream()
						.map((queue) -> List.<Object>of(queue.name().value(), queue.open(), queue.version()))
						.toList()),
					answer);
		}
	},

	CREATE("create a queue") {
		@Override
		public void addArguments(ArgumentParser parser) {
			addQueueArguments(parser);
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return Report.ofChange("queue " + arguments.text("queue"),
					client.change(new ConfigurationCommand.CreateQueue(queue(arguments), arguments.flag("open"))));
		}
	},

	UPDATE("open a queue to all or close it") {
		@Override
		public void addArguments(ArgumentParser parser) {
			addQueueArguments(parser);
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return Report.ofChange("queue " + arguments.text("queue"),
					client.change(new ConfigurationCommand.UpdateQueue(queue(arguments), arguments.flag("open"))));
		}
	},

	DELETE("delete a queue") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("queue");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return Report.ofChange("queue " + arguments.text("queue"),
					client.change(new ConfigurationCommand.DeleteQueue(queue(arguments))));
		}
	};

	private final String help;

	QueueAction(String help) {
		this.help = help;
	}

	@Override
	public String help() {
		return this.help;
	}

	private static void addQueueArguments(ArgumentParser parser) {
		parser.addArgument("queue");
		parser.addArgument("--open")
			.action(net.sourceforge.argparse4j.impl.Arguments.storeTrue())
			.help("accept requests without a key");
	}

	private static QueueName queue(Arguments arguments) {
		return new QueueName(arguments.text("queue"));
	}

}
