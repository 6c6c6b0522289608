package io.burdockpin.operator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.google.common.truth.Truth;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.operator.OperatorReply;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against examples on the pages that burdockctl does not understand. */
class PageExamplesTests {

	private static final Path ROOT = Path.of("").toAbsolutePath().getParent();

	private static final String ENTRY = "127.1.0.1:7080";

	/** In a code span or on a line of its own. */
	private static final Pattern EXAMPLE = Pattern.compile("(?m)(?:^(?:bin/)?|`)burdockctl ([a-z][^`\n]*)");

	@TempDir
	private Path folder;

	@Test
	void burdockctlUnderstandsEachExampleOnThePages() throws IOException {
		for (String page : List.of("README.md", "docs/OPERATIONS.md")) {
			List<String> examples = examples(Files.readString(ROOT.resolve(page)));
			Truth.assertThat(examples).isNotEmpty();
			for (String example : examples) {
				assertUnderstood(page + ": " + example, example);
			}
		}
	}

	private static List<String> examples(String text) {
		List<String> examples = new ArrayList<>();
		Matcher matcher = EXAMPLE.matcher(text);
		while (matcher.find()) {
			examples.add(matcher.group(1).strip());
		}
		return examples.stream().filter((example) -> !example.startsWith("...")).toList();
	}

	private void assertUnderstood(String what, String example) throws IOException {
		ByteArrayOutputStream errors = new ByteArrayOutputStream();
		FakeEntries entries = new FakeEntries();
		entries.answer(ENTRY, OperatorReply.Failed.of(ErrorCode.STATE_CONFLICT, "understood"));
		OperatorExit exit = new OperatorProgram(new PrintStream(new ByteArrayOutputStream()), new PrintStream(errors),
				Map.of(OperatorProgram.ENTRY_VARIABLE, ENTRY), (timeout, trustFile) -> entries)
			.run(arguments(example));
		Truth.assertWithMessage("%s: %s", what, errors).that(exit).isNotEqualTo(OperatorExit.USAGE);
		Truth.assertWithMessage("%s: %s", what, errors).that(exit).isNotEqualTo(OperatorExit.LOCAL_FILE);
	}

	private String[] arguments(String example) throws IOException {
		Path key = Files.writeString(this.folder.resolve("key-to-read"), "k".repeat(43));
		Path newKey = this.folder.resolve("key-to-write");
		Files.deleteIfExists(newKey);
		Map<String, String> files = Map.of("--key-file", key.toString(), "--output", newKey.toString());
		List<String> words = new ArrayList<>();
		String previous = "";
		for (String word : example.split("\\s+")) {
			words.add(files.getOrDefault(previous, filledIn(word)));
			previous = word;
		}
		return words.toArray(new String[0]);
	}

	// The pages use words in capitals for what the reader fills in.
	private static String filledIn(String word) {
		return switch (word) {
			case "N" -> "7";
			case "HEX" -> "0".repeat(64);
			case "IP:PORT" -> "127.1.0.1:7101";
			case "CODE" -> "NO_MAJORITY";
			default -> word.replaceAll("\\|.*", "");
		};
	}

}
