package io.burdockpin.operator.action;

import java.time.Instant;
import java.util.List;

import io.burdockpin.core.client.Query;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.state.JobCommand;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.operator.client.OperatorClient;
import io.burdockpin.operator.output.Report;
import io.burdockpin.operator.output.Table;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** What operators do with jobs. */
enum JobAction implements Action {

	LIST("list jobs") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("--team").help("only jobs of this team");
			parser.addArgument("--pool").help("only jobs of this pool");
			parser.addArgument("--state").help("only jobs in this state");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			OperatorReply.Answered answer = client.ask(new Query.ListJobs());
			return Report.ofTable(table(Fleet.jobs(answer).stream().filter((job) -> matches(job, arguments)).toList()),
					answer);
		}
	},

	SHOW("show one job") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			OperatorReply.Answered answer = client.ask(new Query.ShowJob(id(arguments)));
			return Report.ofTable(table(List.of(Fleet.job(answer, id(arguments)))), answer);
		}
	},

	CANCEL("cancel a job") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			JobRecord job = Fleet.job(client.ask(new Query.ShowJob(id(arguments))), id(arguments));
			return changed(client, arguments, new JobCommand.CancelJob(job.id(), job.spec().team()));
		}
	},

	UNPARK("let a parked job wait for a host again") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return changed(client, arguments, new JobCommand.UnparkJob(id(arguments)));
		}
	},

	END("state how a job ended whose worker cannot report it any more") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("job");
			parser.addArgument("--outcome")
				.type(net.sourceforge.argparse4j.impl.Arguments.caseInsensitiveEnumType(JobEnd.class))
				.required(true)
				.help("be certain: a wrong statement may run the job twice");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			JobRecord job = Fleet.job(client.ask(new Query.ShowJob(id(arguments))), id(arguments));
			return changed(client, arguments, JobEnd.valueOf(arguments.text("outcome")).command(job));
		}
	};

	private final String help;

	JobAction(String help) {
		this.help = help;
	}

	@Override
	public String help() {
		return this.help;
	}

	@Override
	public void addArguments(ArgumentParser parser) {
		parser.addArgument("job");
	}

	private static JobId id(Arguments arguments) {
		return new JobId(arguments.text("job"));
	}

	private static Report changed(OperatorClient client, Arguments arguments, JobCommand command) {
		return Report.ofChange("job " + arguments.text("job"), client.change(command));
	}

	private static boolean matches(JobRecord job, Arguments arguments) {
		return arguments.optional("team").map(job.spec().team().value()::equals).orElse(true)
				&& arguments.optional("pool").map(job.spec().pool().value()::equals).orElse(true)
				&& arguments.optional("state").map(job.state().name()::equalsIgnoreCase).orElse(true);
	}

	private static Table table(List<JobRecord> jobs) {
		return new Table(List.of("job", "team", "pool", "state", "worker", "epoch", "moves", "urgent", "repeatable",
				"changed", "detail"), jobs.stream().map(JobAction::row).toList());
	}

	private static List<Object> row(JobRecord job) {
		return List.of(job.id().value(), job.spec().team().value(), job.spec().pool().value(),
				job.state().name() + (job.cancelRequested() ? ",cancel" : ""),
				job.worker().map(String::valueOf).orElse(""), job.leaseEpoch(), job.moveCount(), job.spec().urgent(),
				job.spec().repeatable(), Instant.ofEpochMilli(job.changedMillis()).toString(), job.detail());
	}

}
