package io.burdockpin.runtime.log;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/** Formats a record as time, level, component prefix and message. Immutable. */
public final class ComponentLogFormatter extends Formatter {

	@Override
	public String format(LogRecord record) {
		StringBuilder line = new StringBuilder(128);
		line.append(record.getInstant()).append(' ').append(record.getLevel().getName()).append(' ');
		line.append(LogComponent.ofLogger(record.getLoggerName()).prefix()).append(' ');
		line.append(formatMessage(record)).append(System.lineSeparator());
		if (record.getThrown() != null) {
			StringWriter trace = new StringWriter();
			record.getThrown().printStackTrace(new PrintWriter(trace));
			line.append(trace);
		}
		return line.toString();
	}

}
