package io.burdockpin.batch;

import java.time.InstantSource;

import io.burdockpin.codec.json.EventJsonCodec;
import io.burdockpin.codec.json.ProcessDescription;
import io.burdockpin.runtime.event.EventLog;
import io.burdockpin.runtime.event.EventPrinter;
import org.apache.pekko.actor.typed.Behavior;

/** Creates event logs that print the events of a process to standard output. */
final class EventLogFactory {

	/** Twice the output of a leader that starts 150 tasks per second. */
	private static final int MAXIMUM_LINES_PER_SECOND = 600;

	/** Processes of the batch scheduler do not number their incarnations. */
	private static final long NO_INCARNATION = 0;

	private EventLogFactory() {
	}

	static Behavior<EventLog.Command> create(String program, BatchSettings settings, InstantSource clock) {
		ProcessDescription process = new ProcessDescription(program, settings.host(), settings.dataCentre(),
				NO_INCARNATION);
		return EventPrinter.create(System.out, MAXIMUM_LINES_PER_SECOND, new EventJsonCodec(), process, clock);
	}

}
