package io.burdockpin.systemtest.settings;

import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.truth.Truth;
import io.burdockpin.batch.ClientLimitSettings;
import io.burdockpin.control.ControlSettings;
import io.burdockpin.entry.cfg.AddressSettings;
import io.burdockpin.entry.cfg.EntrySettings;
import io.burdockpin.entry.cfg.MemberSettings;
import io.burdockpin.entry.cfg.PeerSettings;
import io.burdockpin.runtime.http.socket.ClientLimits;
import io.burdockpin.runtime.settings.SettingsLoader;
import io.burdockpin.runtime.tls.TlsSettings;
import org.junit.jupiter.api.Test;

/**
 * Guards against sample settings that do not load and a page that differs from the code.
 */
class SettingsPageTests {

	private static final Path ROOT = Path.of("").toAbsolutePath().getParent();

	private final SettingsLoader loader = new SettingsLoader();

	private final ObjectMapper mapper = new ObjectMapper();

	@Test
	void thePageNamesEachEntrySettingWithItsDefault() throws IOException {
		EntrySettings settings = this.loader.load(ROOT.resolve("settings/sample/entry-e1.json"), EntrySettings.class);
		assertPageAgrees("burdock-entry", settings);
	}

	@Test
	void thePageNamesEachControlSettingWithItsDefault() throws IOException {
		ControlSettings settings = this.loader.load(ROOT.resolve("settings/sample/control-c1.json"),
				ControlSettings.class);
		assertPageAgrees("burdock-control", settings);
	}

	@Test
	void thePageNamesEachTlsSettingWithItsDefault() throws IOException {
		assertPageAgrees("tls", new TlsSettings("cert.pem", "key.pem", "trust.pem", null));
	}

	@Test
	void thePageNamesEachClientLimitWithItsDefaults() throws IOException {
		List<ClientLimits> defaults = List.of(ClientLimitSettings.DEFAULT.toCallerLimits(),
				ClientLimitSettings.DEFAULT.toReadinessLimits(), ClientLimitSettings.DEFAULT.toControlLimits());
		Map<String, List<String>> expected = new TreeMap<>();
		for (ClientLimits limits : defaults) {
			Map<String, String> values = new TreeMap<>();
			flatten("", this.mapper.readTree(this.loader.print(limits.messages())), values);
			flatten("", this.mapper.readTree(this.loader.print(limits.receiving())), values);
			values.forEach((name, value) -> expected.computeIfAbsent(name, (added) -> new ArrayList<>())
				.add("`" + value + "`"));
		}
		Map<String, List<String>> page = new TreeMap<>();
		section("batch scheduler").lines().filter((line) -> line.startsWith("| `")).forEach((line) -> {
			List<String> cells = Arrays.stream(line.split("\\|")).map(String::strip).toList();
			page.put(cells.get(1).replace("`", ""), cells.subList(2, 5));
		});
		Truth.assertThat(page).isEqualTo(expected);
		Truth.assertThat(expected.keySet())
			.containsExactlyElementsIn(
					Arrays.stream(ClientLimitSettings.ListenerLimitSettings.class.getRecordComponents())
						.map(RecordComponent::getName)
						.toList());
	}

	@Test
	void eachFirmHasSevenEntryHostsThatKnowEachOther() throws IOException {
		for (String firm : List.of("quillca", "nadifa")) {
			List<EntrySettings> entries = loadAll(firm, "entry-", EntrySettings.class);
			Truth.assertThat(entries).hasSize(7);
			List<String> names = entries.stream().map(EntrySettings::name).toList();
			for (EntrySettings entry : entries) {
				Truth
					.assertThat(Stream.concat(Stream.of(entry.name()), entry.peers().stream().map(PeerSettings::name))
						.toList())
					.containsExactlyElementsIn(names);
				entry.peers().forEach((peer) -> assertSameAddress(entries, peer));
			}
		}
	}

	@Test
	void losingAnyDataCentreLeavesAMajorityOfTheControlMembers() throws IOException {
		for (String firm : List.of("quillca", "nadifa")) {
			List<ControlSettings> members = loadAll(firm, "control-", ControlSettings.class);
			Map<String, Long> byDataCentre = members.stream()
				.collect(Collectors.groupingBy(ControlSettings::dataCentre, Collectors.counting()));
			byDataCentre.values()
				.forEach((lost) -> Truth.assertThat(2 * (members.size() - lost)).isGreaterThan(members.size()));
			members.forEach((member) -> Truth.assertThat(member.members()).isEqualTo(members.get(0).members()));
		}
	}

	@Test
	void theEntryHostsOfEachFirmKnowAllControlMembersNearestFirst() throws IOException {
		for (String firm : List.of("sample", "quillca", "nadifa")) {
			Map<String, ControlSettings> members = loadAll(firm, "control-", ControlSettings.class).stream()
				.collect(Collectors.toMap(ControlSettings::host, (member) -> member));
			for (EntrySettings entry : loadAll(firm, "entry-", EntrySettings.class)) {
				Truth.assertThat(entry.members().stream().map(MemberSettings::name).toList())
					.containsExactlyElementsIn(members.keySet());
				entry.members()
					.forEach((member) -> Truth.assertThat(member.clientAddress().hostAndPort())
						.isEqualTo(members.get(member.name()).clientAddress()));
				boolean hasNear = members.values()
					.stream()
					.anyMatch((member) -> member.dataCentre().equals(entry.dataCentre()));
				String first = members.get(entry.members().get(0).name()).dataCentre();
				Truth.assertThat(!hasNear || first.equals(entry.dataCentre())).isTrue();
			}
		}
	}

	private void assertPageAgrees(String program, Object settings) throws IOException {
		Map<String, String> inForce = new TreeMap<>();
		flatten("", this.mapper.readTree(this.loader.print(settings)), inForce);
		Map<String, String> page = page(program);
		Truth.assertThat(page.keySet()).containsExactlyElementsIn(inForce.keySet());
		page.forEach((name, value) -> {
			if (value.startsWith("`") && !value.equals("`[]`")) {
				Truth.assertWithMessage(name).that(value).isEqualTo("`" + inForce.get(name) + "`");
			}
		});
	}

	private static void flatten(String prefix, JsonNode node, Map<String, String> target) {
		Iterator<Map.Entry<String, JsonNode>> fields = node.fields();
		while (fields.hasNext()) {
			Map.Entry<String, JsonNode> field = fields.next();
			if (field.getValue().isObject()) {
				flatten(prefix + field.getKey() + ".", field.getValue(), target);
			}
			else {
				target.put(prefix + field.getKey(), field.getValue().asText());
			}
		}
	}

	private static Map<String, String> page(String program) throws IOException {
		Map<String, String> rows = new TreeMap<>();
		section(program).lines().filter((line) -> line.startsWith("| `")).forEach((line) -> {
			String[] cells = line.split("\\|");
			for (String name : cells[1].split(",")) {
				rows.put(name.strip().replace("`", ""), cells[2].strip());
			}
		});
		return rows;
	}

	private static String section(String program) throws IOException {
		String text = Files.readString(ROOT.resolve("docs/settings.md"));
		return text.split("\n## " + program + "\n")[1].split("\n## ")[0];
	}

	private <T> List<T> loadAll(String firm, String prefix, Class<T> type) throws IOException {
		try (Stream<Path> files = Files.list(ROOT.resolve("settings").resolve(firm))) {
			return files.filter((file) -> file.getFileName().toString().startsWith(prefix))
				.sorted()
				.map((file) -> this.loader.load(file, type))
				.toList();
		}
	}

	private static void assertSameAddress(List<EntrySettings> entries, PeerSettings peer) {
		AddressSettings peerAddress = entries.stream()
			.filter((entry) -> entry.name().equals(peer.name()))
			.findFirst()
			.orElseThrow()
			.peerAddress();
		Truth.assertThat(peer.peerAddress()).isEqualTo(peerAddress);
	}

}
