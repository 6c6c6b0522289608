package io.burdockpin.operator.action;

import java.util.List;

import io.burdockpin.core.client.MemberChangeKind;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import io.burdockpin.operator.client.OperatorClient;
import io.burdockpin.operator.output.Report;
import io.burdockpin.operator.output.Table;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** What operators do with the members of the control group. */
enum MemberAction implements Action {

	LIST("list the control members") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			OperatorReply.Answered answer = client.ask(new Query.ListMembers());
			return Report
				.ofTable(new Table(List.of("member", "incarnation", "voter", "leader", "matchIndex", "silentMillis"),
						Fleet.members(answer)
							.stream()
							.map((member) -> List.<Object>of(member.host().value(), member.incarnation(),
									member.voter(), member.leader(), member.matchIndex(), member.silentMillis()))
							.toList()),
						answer);
		}
	},

	ADD("add a member; it catches up before it votes") {
		@Override
		public void addArguments(ArgumentParser parser) {
			addNewMember(parser);
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return change(client, arguments, MemberChangeKind.ADD, arguments.longNumber("incarnation"),
					arguments.text("address"));
		}
	},

	REPLACE("replace a member that lost its disk by its new incarnation") {
		@Override
		public void addArguments(ArgumentParser parser) {
			addNewMember(parser);
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return change(client, arguments, MemberChangeKind.REPLACE, arguments.longNumber("incarnation"),
					arguments.text("address"));
		}
	},

	REMOVE("remove a member") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("member");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return change(client, arguments, MemberChangeKind.REMOVE, 0, "");
		}
	};

	private final String help;

	MemberAction(String help) {
		this.help = help;
	}

	@Override
	public String help() {
		return this.help;
	}

	private static void addNewMember(ArgumentParser parser) {
		parser.addArgument("member").help("the host of the member");
		parser.addArgument("--incarnation")
			.type(Long.class)
			.required(true)
			.help("the number that the new member logged when it started");
		parser.addArgument("--address").required(true).help("where it listens for other members, ip:port");
	}

	private static Report change(OperatorClient client, Arguments arguments, MemberChangeKind kind, long incarnation,
			String address) {
		OperatorReply reply = client.send(new OperatorRequest.ChangeMember(client.requestId(), kind,
				new HostName(arguments.text("member")), incarnation, address));
		return Report.ofChange("member " + arguments.text("member"), (OperatorReply.Changed) reply);
	}

}
