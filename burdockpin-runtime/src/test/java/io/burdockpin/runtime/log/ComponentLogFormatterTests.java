package io.burdockpin.runtime.log;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/** Guards against peers whose bytes reach the log and look like lines of the log. */
class ComponentLogFormatterTests {

	private static final String FORGED = "2026-12-05T12:00:00Z INFO [scheduler] Leads in term 9.";

	private final ComponentLogFormatter formatter = new ComponentLogFormatter();

	@Test
	void aLineBreakInAMessageStartsNoNewLine() {
		String text = this.formatter.format(new LogRecord(Level.WARNING, "Illegal header: x\r\n" + FORGED));
		Truth.assertThat(text.lines().count()).isEqualTo(1);
		Truth.assertThat(text).contains("Illegal header: x\\r\\n2026");
	}

	@Test
	void controlCharactersInAMessageAreEscaped() {
		String text = this.formatter.format(new LogRecord(Level.WARNING, "a\u001b[2Jb\u0000c\u0085d"));
		Truth.assertThat(text).contains("a\\u001b[2Jb\\u0000c\\u0085d");
	}

	@Test
	void aLineBreakInTheMessageOfAnExceptionLooksLikeNoLineOfTheLog() {
		LogRecord record = new LogRecord(Level.WARNING, "Failed.");
		record.setThrown(new IllegalStateException("bad frame\n" + FORGED));
		List<String> lines = this.formatter.format(record).lines().toList();
		Truth.assertThat(lines.subList(1, lines.size()).stream().allMatch((line) -> line.startsWith("\t"))).isTrue();
	}

}
