package io.burdockpin.operator;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.truth.Truth;
import io.burdockpin.core.client.Query;
import io.burdockpin.core.client.QueryResult;
import io.burdockpin.core.model.AvailabilityBudget;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.HostState;
import io.burdockpin.core.model.JobId;
import io.burdockpin.core.model.JobSpec;
import io.burdockpin.core.model.JobState;
import io.burdockpin.core.model.Payload;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.model.Rack;
import io.burdockpin.core.model.Resources;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.model.TeamSpec;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.CampaignState;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.DrainRecord;
import io.burdockpin.core.state.HostRecord;
import io.burdockpin.core.state.JobRecord;
import io.burdockpin.core.state.PoolRecord;
import io.burdockpin.core.state.TeamRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against reports and explanations that leave out what the operator needs. */
class ReportAndExplanationTests {

	private static final String ENTRY = "127.1.0.1:8080";

	private static final PoolName POOL = new PoolName("office");

	private final FakeEntries entries = new FakeEntries();

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	@BeforeEach
	void oneHostDrainsAndOneRunsAJob() {
		ConfigurationSnapshot configuration = new ConfigurationSnapshot(9,
				List.of(new PoolRecord(POOL, new AvailabilityBudget(60, 5, 5), false, 1)),
				List.of(host("w1", HostState.DRAINING), host("w2", HostState.IN_SERVICE),
						lent(host("w3", HostState.LOST))),
				List.of(new TeamRecord(new TeamSpec(new TeamName("t"), 1, 5, 0), 1)), List.of(), List.of());
		JobSpec spec = new JobSpec(new TeamName("t"), POOL, new Resources(1000, 100, 0), 1000, false, false,
				Payload.EMPTY);
		JobRecord job = new JobRecord(new JobId("j-1"), spec, JobState.RUNNING, Optional.of(new HostName("w2")), 1,
				false, 0, 0, 3, "", Payload.EMPTY, Payload.EMPTY);
		CampaignRecord campaign = new CampaignRecord(
				new CampaignSpec(new CampaignName("kernel"), List.of(POOL), 1, 0, 0, 2), CampaignState.COMPLETED, 1,
				List.of(new DrainRecord(new HostName("w1"), 0)), List.of(), "", 1, 1000, OptionalLong.of(61_000));
		this.entries.answer(ENTRY, (request) -> new OperatorReply.Answered(9, true,
				result(((OperatorRequest.Ask) request).query(), configuration, job, campaign)));
	}

	@Test
	void theReportShowsTheFourMeasuresWithTheirUnits() {
		String table = run("report");
		Truth.assertThat(table).containsMatch("buffer cost +pool office +3.0 +cores");
		Truth.assertThat(table).containsMatch("roll-out time +campaign kernel +60.0 +seconds");
		Truth.assertThat(table).containsMatch("job moves +pool office +3.0 +moves");
		Truth.assertThat(table).containsMatch("nearness to share +team t +100.0 +percent");
		Truth.assertThat(run("report", "--json")).contains("\"measure\"");
	}

	@Test
	void aDrainingHostIsExplainedByItsCampaignAndDeadline() {
		String text = run("explain", "host", "w1");
		Truth.assertThat(text).contains("host w1 is DRAINING in pool office");
		Truth.assertThat(text).contains("taken out for campaign kernel");
		Truth.assertThat(text).contains("drain deadline 1970-01-01T00:00:00Z");
	}

	@Test
	void aHostInServiceIsExplainedByTheBudgetThatHoldsItBackAndItsJobs() {
		String text = run("explain", "host", "w2");
		Truth.assertThat(text)
			.contains(
					"a budget holds back its drain: pool office would have 0 of 3 hosts in service, 60% are required");
		Truth.assertThat(text).contains("job j-1 of team t is RUNNING on it, not repeatable");
	}

	@Test
	void aLostHostIsExplainedByItsSilence() {
		Truth.assertThat(run("explain", "host", "w3")).contains("has not reported for longer than its lease");
	}

	@Test
	void aLentHostIsListedAndExplainedWithItsHomePoolAndOthersWithout() {
		String table = run("host", "list");
		Truth.assertThat(table).containsMatch("version +homePool\\n");
		Truth.assertThat(table).containsMatch("w2 +office .* -\\n");
		Truth.assertThat(table).containsMatch("w3 +office .* spare\\n");
		String json = run("host", "list", "--json");
		Truth.assertThat(json).containsMatch("\"host\"\\s*:\\s*\"w2\"[^}]*\"homePool\"\\s*:\\s*\"\"");
		Truth.assertThat(json).containsMatch("\"host\"\\s*:\\s*\"w3\"[^}]*\"homePool\"\\s*:\\s*\"spare\"");
		Truth.assertThat(run("explain", "host", "w3")).contains("it is lent by spare pool spare");
		Truth.assertThat(run("explain", "host", "w2")).doesNotContain("lent by");
	}

	private static QueryResult result(Query query, ConfigurationSnapshot configuration, JobRecord job,
			CampaignRecord campaign) {
		if (query instanceof Query.ListJobs) {
			return new QueryResult.Jobs(List.of(job));
		}
		return (query instanceof Query.ListCampaigns) ? new QueryResult.Campaigns(List.of(campaign))
				: new QueryResult.ConfigurationResult(configuration);
	}

	private static HostRecord host(String name, HostState state) {
		return new HostRecord(new HostSpec(new HostName(name), new DataCentre("dc1"), new Rack("r-" + name),
				new Resources(4000, 4096, 0)), POOL, state, 1);
	}

	private static HostRecord lent(HostRecord host) {
		return new HostRecord(host.spec(), host.pool(), host.state(), host.version(),
				Optional.of(new PoolName("spare")));
	}

	private String run(String... args) {
		this.output.reset();
		OperatorExit exit = new OperatorProgram(new PrintStream(this.output), System.err,
				Map.of(OperatorProgram.ENTRY_VARIABLE, ENTRY), (timeout, trustFile) -> this.entries)
			.run(args);
		Truth.assertThat(exit).isEqualTo(OperatorExit.SUCCESS);
		return this.output.toString();
	}

}
