package io.burdockpin.operator.action;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.burdockpin.core.client.MemberStatus;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.client.QueryResult;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.CampaignState;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.operator.client.OperatorClient;
import io.burdockpin.operator.output.Report;

/** The state of the fleet at a glance. */
enum StatusAction implements Action {

	STATUS;

	@Override
	public String help() {
		return "members, hosts, jobs, campaigns and entry hosts at a glance";
	}

	@Override
	public Report run(OperatorClient client, Arguments arguments) {
		OperatorReply.Answered answer = Fleet.askConfiguration(client);
		ConfigurationSnapshot configuration = Fleet.configuration(answer);
		List<MemberStatus> members = Fleet.members(client.ask(new Query.ListMembers()));
		List<CampaignRecord> campaigns = Fleet.campaigns(client.ask(new Query.ListCampaigns()));
		QueryResult.Tokens tokens = (QueryResult.Tokens) client.ask(new Query.ListTokens()).result();
		Map<String, Object> json = new TreeMap<>();
		json.put("configurationIndex", configuration.index());
		json.put("current", answer.current());
		json.put("leader",
				members.stream()
					.filter(MemberStatus::leader)
					.map((member) -> member.host().value())
					.findFirst()
					.orElse(""));
		json.put("voters",
				members.stream().filter(MemberStatus::voter).map((member) -> member.host().value()).toList());
		json.put("hosts", count(configuration.hosts(), (host) -> host.state().name()));
		json.put("jobs", count(Fleet.jobs(client.ask(new Query.ListJobs())), (job) -> job.state().name()));
		json.put("campaigns", campaigns.stream()
			.filter((campaign) -> campaign.state() == CampaignState.RUNNING || campaign.state() == CampaignState.PAUSED)
			.map((campaign) -> campaign.spec().name().value())
			.toList());
		json.put("entryHosts",
				tokens.holders()
					.stream()
					.filter((holder) -> !holder.blocked())
					.map((holder) -> holder.holder().host().value())
					.toList());
		List<String> lines = new ArrayList<>();
		json.forEach((name, value) -> lines.add("%-20s %s".formatted(name, value)));
		return new Report(lines, json, Report.staleWarning(answer));
	}

	private static <T> Map<String, Long> count(List<T> records, Function<T, String> state) {
		return records.stream().collect(Collectors.groupingBy(state, TreeMap::new, Collectors.counting()));
	}

}
