package io.burdockpin.operator.action;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import io.burdockpin.core.client.Query;
import io.burdockpin.core.measure.FleetMeasures;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.operator.client.OperatorClient;
import io.burdockpin.operator.output.Report;
import io.burdockpin.operator.output.Table;

/** The four measures of the fleet. */
enum ReportAction implements Action {

	REPORT;

	private static final List<String> COLUMNS = List.of("measure", "of", "value", "unit");

	private static final double PER_UNIT = 1000;

	private static final double PERCENT = 100;

	@Override
	public String help() {
		return "buffer cost, roll-out time, job moves and nearness to share";
	}

	@Override
	public Report run(OperatorClient client, Arguments arguments) {
		OperatorReply.Answered answer = Fleet.askConfiguration(client);
		FleetMeasures measures = FleetMeasures.of(Fleet.configuration(answer),
				Fleet.jobs(client.ask(new Query.ListJobs())), Fleet.campaigns(client.ask(new Query.ListCampaigns())),
				System.currentTimeMillis());
		List<List<Object>> rows = new ArrayList<>();
		measures.bufferMillicores()
			.forEach(
					(pool, millicores) -> rows.add(row("buffer cost", "pool " + pool, millicores / PER_UNIT, "cores")));
		measures.rolloutMillis()
			.forEach((campaign, millis) -> rows
				.add(row("roll-out time", "campaign " + campaign, millis / PER_UNIT, "seconds")));
		measures.moveCounts()
			.forEach((pool, count) -> rows.add(row("job moves", "pool " + pool, count.doubleValue(), "moves")));
		measures.shareDistances()
			.forEach((team, distance) -> rows
				.add(row("nearness to share", "team " + team, PERCENT * Math.max(0, 1 - distance), "percent")));
		return Report.ofTable(new Table(COLUMNS, rows), answer);
	}

	private static List<Object> row(String measure, String object, double value, String unit) {
		return List.of(measure, object, Double.valueOf(String.format(Locale.ROOT, "%.1f", value)), unit);
	}

}
