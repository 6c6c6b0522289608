package io.burdockpin.operator.action;

import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.TeamName;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;
import io.burdockpin.core.state.ConfigurationCommand;
import io.burdockpin.operator.OperatorException;
import io.burdockpin.operator.OperatorExit;
import io.burdockpin.operator.client.OperatorClient;
import io.burdockpin.operator.key.KeyFiles;
import io.burdockpin.operator.key.TeamKey;
import io.burdockpin.operator.output.Report;
import io.burdockpin.operator.output.Table;
import net.sourceforge.argparse4j.inf.ArgumentParser;

/** What operators do with team keys. Only hashes of keys leave this program. */
enum KeyAction implements Action {

	LIST("list the hashes and labels of keys") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("--team").help("only keys of this team");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			OperatorReply.Answered answer = Fleet.askConfiguration(client);
			return Report.ofTable(new Table(List.of("hash", "team", "label", "withdrawn"), Fleet.configuration(answer)
				.keys()
				.stream()
				.filter((key) -> arguments.optional("team").map(key.team().value()::equals).orElse(true))
				.map((key) -> List.<Object>of(key.hash().hex(), key.team().value(), key.label(), key.withdrawn()))
				.toList()), answer);
		}
	},

	GRANT("grant a key to a team; a new key is drawn unless one is read") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("team");
			parser.addArgument("--label").setDefault("").help("a name by which operators know the key");
			addKeySource(parser);
			parser.addArgument("--output").metavar("FILE").help("write the new key to a new file, not to the screen");
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			Optional<TeamKey> given = givenKey(arguments);
			TeamKey key = given.orElseGet(() -> TeamKey.draw(new SecureRandom()));
			Optional<Path> output = arguments.optional("output").map(Path::of);
			output.ifPresent((file) -> KeyFiles.write(file, key));
			OperatorReply.Changed reply = grant(client, arguments, key, output);
			return granted(reply, key, given.isEmpty() && output.isEmpty());
		}
	},

	WITHDRAW("withdraw a key for good") {
		@Override
		public void addArguments(ArgumentParser parser) {
			parser.addArgument("--hash").help("hash of the key as key list shows it");
			addKeySource(parser);
		}

		@Override
		public Report run(OperatorClient client, Arguments arguments) {
			KeyHash hash = arguments.optional("hash")
				.map(KeyHash::new)
				.or(() -> givenKey(arguments).map(TeamKey::hash))
				.orElseThrow(() -> OperatorException.usage("give --hash, --key-file or --key-stdin"));
			OperatorReply reply = client.send(new OperatorRequest.WithdrawKey(client.requestId(), hash));
			return Report.ofWithdrawal((OperatorReply.Withdrawn) reply);
		}
	};

	private final String help;

	KeyAction(String help) {
		this.help = help;
	}

	@Override
	public String help() {
		return this.help;
	}

	private static void addKeySource(ArgumentParser parser) {
		parser.addArgument("--key-file").dest("keyFile").metavar("FILE").help("read the key from a file");
		parser.addArgument("--key-stdin")
			.dest("keyStdin")
			.action(net.sourceforge.argparse4j.impl.Arguments.storeTrue())
			.help("read the key from standard input");
	}

	private static Optional<TeamKey> givenKey(Arguments arguments) {
		if (arguments.flag("keyStdin")) {
			return Optional.of(KeyFiles.read(System.in));
		}
		return arguments.optional("keyFile").map(Path::of).map(KeyFiles::read);
	}

	// The file is written first, so that a granted key is never lost. It stays when the
	// outcome is not known, for a resend with --key-file.
	private static OperatorReply.Changed grant(OperatorClient client, Arguments arguments, TeamKey key,
			Optional<Path> output) {
		try {
			return client.change(new ConfigurationCommand.GrantKey(new TeamName(arguments.text("team")), key.hash(),
					arguments.text("label")));
		}
		catch (OperatorException ex) {
			if (ex.getExit() != OperatorExit.OUTCOME_UNKNOWN) {
				output.ifPresent(KeyFiles::remove);
			}
			throw ex;
		}
	}

	private static Report granted(OperatorReply.Changed reply, TeamKey key, boolean show) {
		Report changed = Report.ofChange("key " + key.hash().abbreviated(), reply);
		if (!show) {
			return changed;
		}
		List<String> lines = new ArrayList<>(changed.lines());
		lines.add("key, shown only once: " + key.reveal());
		Map<String, Object> json = new TreeMap<>();
		((Map<?, ?>) changed.json()).forEach((name, value) -> json.put(String.valueOf(name), value));
		json.put("key", key.reveal());
		return new Report(lines, json, changed.warnings());
	}

}
