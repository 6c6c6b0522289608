package io.burdockpin.operator.action;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import io.burdockpin.core.client.Query;
import io.burdockpin.core.model.CampaignName;
import io.burdockpin.core.model.CampaignSpec;
import io.burdockpin.core.model.PoolName;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.state.CampaignRecord;
import io.burdockpin.core.state.ConfigurationSnapshot;
import io.burdockpin.core.state.MaintenanceCommand;
import io.burdockpin.operator.client.OperatorClient;
import io.burdockpin.operator.output.Report;
import io.burdockpin.operator.output.Table;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** What operators do with maintenance campaigns. */
enum CampaignAction implements Action {

	LIST("list campaigns") {
		@Override
		public void addArguments(ArgumentParser parser) {
			// Lists all of them.
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			OperatorReply.Answered answer = client.ask(new Query.ListCampaigns());
			return Report.ofTable(new Table(List.of("campaign", "state", "pools", "wave", "out", "done", "version"),
					Fleet.campaigns(answer).stream().map(CampaignAction::row).toList()), answer);
		}
	},

	START("drain, maintain and return every host of some pools once") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("campaign");
			parser.addArgument("--pool").nargs("+").required(true).help("the pools in the order of work");
			parser.addArgument("--concurrent-hosts").dest("concurrentHosts").type(Integer.class).required(true);
			parser.addArgument("--drain-minutes")
				.dest("drainMinutes")
				.type(Long.class)
				.setDefault(30L)
				.help("how long a drain waits before it interrupts jobs");
			parser.addArgument("--deadline-hours")
				.dest("deadlineHours")
				.type(Long.class)
				.setDefault(24L * 7)
				.help("by when the campaign should end, from now");
			parser.addArgument("--maximum-unplanned-losses")
				.dest("maximumUnplannedLosses")
				.type(Integer.class)
				.setDefault(2)
				.help("lost hosts above which the next wave waits for the operator");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return changed(client, arguments, new MaintenanceCommand.StartCampaign(spec(arguments)));
		}
	},

	PAUSE("start no further drains") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("campaign");
			parser.addArgument("--reason").setDefault("paused by an operator");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return changed(client, arguments,
					new MaintenanceCommand.PauseCampaign(campaignName(arguments), arguments.text("reason")));
		}
	},

	RESUME("let a paused campaign go on") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return changed(client, arguments, new MaintenanceCommand.ResumeCampaign(campaignName(arguments)));
		}
	},

	CANCEL("end a campaign; hosts that are out return to service") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			return changed(client, arguments, new MaintenanceCommand.CancelCampaign(campaignName(arguments)));
		}
	},

	STATUS("show the progress of a campaign") {
		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			OperatorReply.Answered answer = client.ask(new Query.ListCampaigns());
			CampaignRecord campaign = Fleet.campaign(answer, arguments.text("campaign"));
			ConfigurationSnapshot configuration = Fleet.configuration(Fleet.askConfiguration(client));
			return progress(campaign, configuration, Report.staleWarning(answer));
		}
	};

	private final String help;

	CampaignAction(String help) {
		this.help = help;
	}

	@Override
	public String help() {
		return this.help;
	}

	@Override
	public void addArguments(ArgumentParser parser) {
		parser.addArgument("campaign");
	}

	private static CampaignName campaignName(Arguments arguments) {
		return new CampaignName(arguments.text("campaign"));
	}

	private static CampaignSpec spec(Arguments arguments) {
		return new CampaignSpec(campaignName(arguments), arguments.list("pool").stream().map(PoolName::new).toList(),
				arguments.number("concurrentHosts"), TimeUnit.MINUTES.toMillis(arguments.longNumber("drainMinutes")),
				System.currentTimeMillis() + TimeUnit.HOURS.toMillis(arguments.longNumber("deadlineHours")),
				arguments.number("maximumUnplannedLosses"));
	}

	private static Report changed(OperatorClient client, Arguments arguments, MaintenanceCommand command) {
		return Report.ofChange("campaign " + arguments.text("campaign"), client.change(command));
	}

	private static Report progress(CampaignRecord campaign, ConfigurationSnapshot configuration,
			List<String> warnings) {
		long total = configuration.hosts()
			.stream()
			.filter((host) -> campaign.spec().pools().contains(host.pool()))
			.count();
		List<String> lines = new ArrayList<>();
		lines.add("campaign %s: %s%s".formatted(campaign.spec().name(), campaign.state(),
				campaign.reason().isEmpty() ? "" : ", " + campaign.reason()));
		lines.add("wave %d: %d of %d hosts done, %d out".formatted(campaign.wave(), campaign.hostsDone().size(), total,
				campaign.hostsOut().size()));
		campaign.hostsOut()
			.forEach((drain) -> lines.add("out: %s, drain deadline %s".formatted(drain.host(),
					java.time.Instant.ofEpochMilli(drain.drainDeadlineMillis()))));
		Map<String, Object> json = new TreeMap<>();
		json.put("campaign", campaign.spec().name().value());
		json.put("state", campaign.state().name());
		json.put("reason", campaign.reason());
		json.put("wave", campaign.wave());
		json.put("total", total);
		json.put("done", campaign.hostsDone().stream().map(String::valueOf).toList());
		json.put("out", campaign.hostsOut().stream().map((drain) -> drain.host().value()).toList());
		return new Report(lines, json, warnings);
	}

	private static List<Object> row(CampaignRecord campaign) {
		return List.of(campaign.spec().name().value(), campaign.state().name(),
				campaign.spec().pools().stream().map(PoolName::value).toList(), campaign.wave(),
				campaign.hostsOut().size(), campaign.hostsDone().size(), campaign.version());
	}

}
