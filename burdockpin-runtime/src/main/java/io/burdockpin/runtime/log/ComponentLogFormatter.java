package io.burdockpin.runtime.log;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats a record as one line with time, level, component prefix and message, followed
 * by the indented stack trace if there is one. Control characters are escaped, because a
 * message may quote what a peer has sent. Immutable.
 */
public final class ComponentLogFormatter extends Formatter {

	@Override
	public String format(LogRecord record) {
		StringBuilder line = new StringBuilder(128);
		line.append(record.getInstant()).append(' ').append(record.getLevel().getName()).append(' ');
		line.append(LogComponent.ofLogger(record.getLoggerName()).prefix()).append(' ');
		appendEscaped(line, formatMessage(record));
		line.append(System.lineSeparator());
		if (record.getThrown() != null) {
			StringWriter trace = new StringWriter();
			record.getThrown().printStackTrace(new PrintWriter(trace));
			trace.toString().lines().forEach((text) -> {
				line.append('\t');
				appendEscaped(line, text.stripLeading());
				line.append(System.lineSeparator());
			});
		}
		return line.toString();
	}

	private static void appendEscaped(StringBuilder line, String text) {
		for (int index = 0; index < text.length(); index++) {
			char character = text.charAt(index);
			switch (character) {
				case '\n' -> line.append("\\n");
				case '\r' -> line.append("\\r");
				case '\t' -> line.append(' ');
				default -> {
					if (Character.isISOControl(character)) {
						line.append("\\u%04x".formatted((int) character));
					}
					else {
						line.append(character);
					}
				}
			}
		}
	}

}
