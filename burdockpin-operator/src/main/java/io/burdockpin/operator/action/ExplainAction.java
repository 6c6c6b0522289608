package io.burdockpin.operator.action;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.client.QueryResult;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.operator.OperatorException;
import io.burdockpin.operator.OperatorExit;
import io.burdockpin.operator.client.OperatorClient;
import io.burdockpin.operator.client.SchedulerClient;
import io.burdockpin.operator.output.CodeExplanation;
import io.burdockpin.operator.output.Report;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** Explains why something is as it is. */
enum ExplainAction implements Action {

	JOB("why a job is where it is") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("job");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			OperatorReply.Answered answer = client.ask(new Query.ExplainJob(new JobId(arguments.text("job"))));
			List<String> lines = ((QueryResult.Explanation) answer.result()).lines();
			return new Report(lines, lines, Report.staleWarning(answer));
		}
	},

	HOST("what a host does and what keeps it out of service") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("host");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			OperatorReply.Answered answer = Fleet.askConfiguration(client);
			List<String> lines = HostExplanation.of(host(answer, arguments.text("host")), Fleet.configuration(answer),
					Fleet.jobs(client.ask(new Query.ListJobs())),
					Fleet.campaigns(client.ask(new Query.ListCampaigns())));
			return new Report(lines, lines, Report.staleWarning(answer));
		}
	},

	PLACEMENT("where the batch scheduler would place a job now, and why") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("--scheduler")
				.required(true)
				.metavar("IP:PORT")
				.help("control address of a control process or readiness address of an entry process");
			parser.addArgument("--job").help("identifier of an accepted job");
			parser.addArgument("--file").help("JSON file that a caller would submit");
			parser.addArgument("--queue-host").dest("queueHost").help("virtual host of the queue, with --file");
			parser.addArgument("--path").help("path of the queue followed by the identifier, with --file");
			parser.addArgument("--key-file").dest("keyFile").help("file with the key of the caller, with --file");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			JsonNode explanation = SchedulerClient.of(arguments.text("scheduler"), arguments.number("timeoutSeconds"))
				.ask("/operator/v1/placement-explanations", PlacementQuestion.of(arguments));
			return new Report(PlacementExplanationText.of(explanation), explanation, List.of());
		}
	},

	CODE("what an error code means and what to do") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("code");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			String name = arguments.text("code").toUpperCase(Locale.ROOT);
			ErrorCode code = Arrays.stream(ErrorCode.values())
				.filter((candidate) -> candidate.name().equals(name))
				.findFirst()
				.orElseThrow(() -> OperatorException.usage("code %s does not exist".formatted(name)));
			return Report.ofLines(CodeExplanation.of(code));
		}
	};

	private final String help;

	ExplainAction(String help) {
		this.help = help;
	}

	@Override
	public String help() {
		return this.help;
	}

	private static HostRecord host(OperatorReply.Answered answer, String name) {
		return Fleet.configuration(answer)
			.hosts()
			.stream()
			.filter((host) -> host.spec().name().value().equals(name))
			.findFirst()
			.orElseThrow(() -> new OperatorException(OperatorExit.REFUSED, ErrorCode.UNKNOWN_HOST,
					"host %s does not exist".formatted(name), null));
	}

}
