package io.burdockpin.operator.action;

import java.util.List;

import io.burdockpin.core.client.MemberStatus;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.client.QueryResult;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.operator.OperatorException;
import io.burdockpin.operator.OperatorExit;
import io.burdockpin.operator.client.OperatorClient;

/** Takes the records out of answers. */
final class Fleet {

	private Fleet() {
	}

	static OperatorReply.Answered askConfiguration(OperatorClient client) {
		return client.ask(new Query.ShowConfiguration());
	}

	static ConfigurationSnapshot configuration(OperatorReply.Answered answer) {
		return ((QueryResult.ConfigurationResult) answer.result()).configuration();
	}

	static List<JobRecord> jobs(OperatorReply.Answered answer) {
		return ((QueryResult.Jobs) answer.result()).jobs();
	}

	static List<CampaignRecord> campaigns(OperatorReply.Answered answer) {
		return ((QueryResult.Campaigns) answer.result()).campaigns();
	}

	static List<MemberStatus> members(OperatorReply.Answered answer) {
		return ((QueryResult.Members) answer.result()).members();
	}

	static JobRecord job(OperatorReply.Answered answer, JobId job) {
		return jobs(answer).stream()
			.findFirst()
			.orElseThrow(() -> new OperatorException(OperatorExit.REFUSED, ErrorCode.UNKNOWN_JOB,
					"job %s does not exist or has expired".formatted(job), null));
	}

	static CampaignRecord campaign(OperatorReply.Answered answer, String name) {
		return campaigns(answer).stream()
			.filter((campaign) -> campaign.spec().name().value().equals(name))
			.findFirst()
			.orElseThrow(() -> new OperatorException(OperatorExit.REFUSED, ErrorCode.UNKNOWN_CAMPAIGN,
					"campaign %s does not exist".formatted(name), null));
	}

}
