package io.burdockpin.operator;

import java.io.PrintStream;
import java.net.http.HttpClient;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.BiFunction;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.burdockpin.core.exc.BurdockException;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.RequestId;
import io.burdockpin.operator.action.Action;
import io.burdockpin.operator.action.ActionGroup;
import io.burdockpin.operator.client.EntryCaller;
import io.burdockpin.operator.client.HttpEntryCaller;
import io.burdockpin.operator.client.OperatorClient;
import io.burdockpin.operator.client.TrustFile;
import io.burdockpin.operator.output.BashCompletion;
import io.burdockpin.operator.output.Report;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * The binary {@code burdockctl}: parses the command line, carries out one action and
 * prints what it reports. Used by the main thread.
 */
public final class OperatorProgram {

	/** Where the entry hosts are read from when {@code --entry} is missing. */
	static final String ENTRY_VARIABLE = "BURDOCK_ENTRY";

	/** Where the trust file is read from when {@code --trust-file} is missing. */
	static final String TRUST_VARIABLE = "BURDOCK_TRUST";

	private static final List<String> COMMON_OPTIONS = List.of("--entry", "--trust-file", "--json", "--request-id",
			"--expect-version", "--timeout-seconds", "--help");

	private static final Pattern ENTRY = Pattern
		.compile("(https?://)?(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]):\\d{1,5}");

	/** An entry host that does not accept within this time is passed over. */
	private static final Duration LONGEST_CONNECT = Duration.ofSeconds(2);

	private static final String COMPLETION = "completion";

	private final PrintStream output;

	private final PrintStream errors;

	private final Map<String, String> environment;

	private final BiFunction<Duration, Optional<String>, EntryCaller> callers;

	private final ObjectMapper mapper = new ObjectMapper();

	OperatorProgram(PrintStream output, PrintStream errors, Map<String, String> environment,
			BiFunction<Duration, Optional<String>, EntryCaller> callers) {
		this.output = output;
		this.errors = errors;
		this.environment = environment;
		this.callers = callers;
	}

	// life cycle

	/**
	 * Runs the program.
	 * @param args the command line
	 */
	public static void main(String[] args) {
		OperatorProgram program = new OperatorProgram(System.out, System.err, System.getenv(),
				OperatorProgram::httpCaller);
		System.exit(program.run(args).status());
	}

	OperatorExit run(String[] args) {
		ArgumentParser parser = createParser();
		try {
			Namespace namespace = parser.parseArgs(args);
			return runWith(namespace);
		}
		catch (HelpScreenException ex) {
			return OperatorExit.SUCCESS;
		}
		catch (ArgumentParserException ex) {
			parser.handleError(ex, new java.io.PrintWriter(this.errors, true));
			return OperatorExit.USAGE;
		}
	}

	// helpers

	private ArgumentParser createParser() {
		ArgumentParser parser = ArgumentParsers.newFor("burdockctl")
			.build()
			.defaultHelp(true)
			.description("Operates a burdockpin fleet through any of its entry hosts.")
			.epilog("Exit status: 0 done, 1 refused, 2 wrong command line, 3 no entry host reachable, "
					+ "4 outcome unknown, 5 local file.");
		parser.version("burdockctl " + version());
		parser.addArgument("--version").action(Arguments.version());
		Subparsers groups = parser.addSubparsers().dest("group").metavar("GROUP");
		Arrays.stream(ActionGroup.values()).forEach((group) -> addGroup(groups, group));
		groups.addParser(COMPLETION).help("print the completion script for bash");
		return parser;
	}

	private static void addGroup(Subparsers groups, ActionGroup group) {
		Subparser groupParser = groups.addParser(group.word()).help(group.help());
		if (group.isSingle()) {
			addAction(groupParser, group.actions().get(0));
			return;
		}
		Subparsers verbs = groupParser.addSubparsers().dest("verb").metavar("VERB");
		group.actions()
			.forEach((action) -> addAction(verbs.addParser(action.verb()).help(action.help()).defaultHelp(true),
					action));
	}

	private static void addAction(Subparser parser, Action action) {
		parser.description(action.help());
		action.addArguments(parser);
		parser.addArgument("--entry")
			.nargs("+")
			.metavar("IP:PORT")
			.help("entry hosts, tried in turn, with https:// for TLS; default: the variable " + ENTRY_VARIABLE
					+ ", separated by commas");
		parser.addArgument("--trust-file")
			.dest("trustFile")
			.metavar("FILE")
			.help("PEM file with the authorities of the entry hosts, for https://; default: the variable "
					+ TRUST_VARIABLE);
		parser.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
		parser.addArgument("--request-id")
			.dest("requestId")
			.help("identifier of the change; a resend with the same one changes nothing more");
		parser.addArgument("--expect-version")
			.dest("expectVersion")
			.type(Long.class)
			.help("refuse the change unless the object has this version");
		parser.addArgument("--timeout-seconds").dest("timeoutSeconds").type(Integer.class).setDefault(10);
	}

	private OperatorExit runWith(Namespace namespace) {
		if (COMPLETION.equals(namespace.getString("group"))) {
			this.output.print(BashCompletion.script(COMMON_OPTIONS));
			return OperatorExit.SUCCESS;
		}
		boolean json = Boolean.TRUE.equals(namespace.getBoolean("json"));
		try {
			Report report = action(namespace).run(client(namespace),
					new io.burdockpin.operator.action.Arguments(namespace));
			print(report, json);
			return OperatorExit.SUCCESS;
		}
		catch (OperatorException ex) {
			return fail(ex, ex.getExit(), json);
		}
		catch (BurdockException ex) {
			return fail(ex, OperatorExit.USAGE, json);
		}
	}

	private static Action action(Namespace namespace) {
		String group = namespace.getString("group");
		String verb = Optional.ofNullable(namespace.getString("verb")).orElse(group);
		return ActionGroup.find(group, verb).orElseThrow();
	}

	private OperatorClient client(Namespace namespace) {
		Long expectVersion = namespace.getLong("expectVersion");
		RequestId requestId = Optional.ofNullable(namespace.getString("requestId"))
			.map(RequestId::new)
			.orElseGet(OperatorProgram::drawRequestId);
		List<String> entries = entries(namespace);
		return new OperatorClient(entries,
				this.callers.apply(Duration.ofSeconds(namespace.getInt("timeoutSeconds")),
						trustFile(namespace, entries)),
				requestId, (expectVersion != null) ? OptionalLong.of(expectVersion) : OptionalLong.empty());
	}

	private List<String> entries(Namespace namespace) {
		List<String> given = namespace.getList("entry");
		List<String> entries = (given != null) ? given : entriesInEnvironment();
		for (String entry : entries) {
			if (!ENTRY.matcher(entry).matches()) {
				throw OperatorException
					.usage("entry host \"%s\" is not of the form [https://]ip:port".formatted(entry));
			}
		}
		return entries;
	}

	private Optional<String> trustFile(Namespace namespace, List<String> entries) {
		Optional<String> trustFile = Optional.ofNullable(namespace.getString("trustFile"))
			.or(() -> Optional.ofNullable(this.environment.get(TRUST_VARIABLE)).filter((file) -> !file.isBlank()));
		if (trustFile.isEmpty() && entries.stream().anyMatch((entry) -> entry.startsWith("https://"))) {
			throw OperatorException.usage("https:// needs --trust-file or the variable %s".formatted(TRUST_VARIABLE));
		}
		return trustFile;
	}

	private List<String> entriesInEnvironment() {
		String variable = this.environment.getOrDefault(ENTRY_VARIABLE, "");
		return Arrays.stream(variable.split(",")).map(String::strip).filter((entry) -> !entry.isEmpty()).toList();
	}

	private static RequestId drawRequestId() {
		byte[] token = new byte[8];
		new SecureRandom().nextBytes(token);
		return new RequestId(System.currentTimeMillis() / 1000 + "-" + HexFormat.of().formatHex(token));
	}

	private static EntryCaller httpCaller(Duration timeout, Optional<String> trustFile) {
		Duration connectTimeout = (timeout.compareTo(LONGEST_CONNECT) < 0) ? timeout : LONGEST_CONNECT;
		HttpClient.Builder client = HttpClient.newBuilder().connectTimeout(connectTimeout);
		trustFile.ifPresent((file) -> client.sslContext(TrustFile.load(file)));
		return new HttpEntryCaller(client.build(), timeout);
	}

	private void print(Report report, boolean json) {
		report.warnings().forEach((warning) -> this.errors.println("burdockctl: warning: " + warning));
		if (json) {
			this.output.println(toJson(report.json()));
		}
		else {
			report.lines().forEach(this.output::println);
		}
	}

	private OperatorExit fail(BurdockException ex, OperatorExit exit, boolean json) {
		if (json) {
			Map<String, String> document = new TreeMap<>();
			document.put("code", ex.getCode().name());
			document.put("outcome", ex.getCode().outcome().name());
			document.put("message", ex.getMessage());
			this.output.println(toJson(document));
		}
		this.errors.println("burdockctl: %s: %s".formatted(ex.getCode(), ex.getMessage()));
		if (ex.getCode() != ErrorCode.BAD_REQUEST) {
			this.errors.println("burdockctl: for advice: burdockctl explain code " + ex.getCode());
		}
		return exit;
	}

	private String toJson(Object value) {
		try {
			return this.mapper.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("maps, lists, strings and numbers can always be printed", ex);
		}
	}

	private static String version() {
		return Optional.ofNullable(OperatorProgram.class.getPackage().getImplementationVersion()).orElse("development");
	}

}
