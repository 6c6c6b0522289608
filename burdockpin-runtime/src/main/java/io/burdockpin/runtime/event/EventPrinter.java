package io.burdockpin.runtime.event;

import java.io.PrintStream;
import java.time.InstantSource;

import io.burdockpin.codec.json.EventJsonCodec;
import io.burdockpin.codec.json.ProcessDescription;
import io.burdockpin.core.event.Event;
import io.burdockpin.core.event.EventField;
import io.burdockpin.core.event.EventKind;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.MailboxSelector;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Prints events as JSON lines at a limited rate and reports how many were dropped. Spawn
 * it with {@link #MAILBOX}, so that the actors that send events never wait for it.
 */
public final class EventPrinter extends AbstractBehavior<EventLog.Command> {

	/** Bounded mailbox: events that exceed it are dropped while the printer is behind. */
	public static final MailboxSelector MAILBOX = MailboxSelector.bounded(2_000);

	private static final long PERIOD_MILLIS = 1_000;

	private final PrintStream output;

	private final int maximumLinesPerSecond;

	private final EventJsonCodec codec;

	private final ProcessDescription process;

	private final InstantSource clock;

	private long periodStartMillis;

	private int printedLines;

	private int droppedLines;

	private EventPrinter(ActorContext<EventLog.Command> context, PrintStream output, int maximumLinesPerSecond,
			EventJsonCodec codec, ProcessDescription process, InstantSource clock) {
		super(context);
		this.output = output;
		this.maximumLinesPerSecond = maximumLinesPerSecond;
		this.codec = codec;
		this.process = process;
		this.clock = clock;
		this.periodStartMillis = clock.millis();
	}

	/**
	 * Creates the behavior.
	 * @param output receives the lines
	 * @param maximumLinesPerSecond rate limit
	 * @param codec encodes events as JSON
	 * @param process the process that each line names
	 * @param clock a clock that is not affected by changes of the wall clock
	 * @return the behavior
	 */
	public static Behavior<EventLog.Command> create(PrintStream output, int maximumLinesPerSecond, EventJsonCodec codec,
			ProcessDescription process, InstantSource clock) {
		return Behaviors
			.setup((context) -> new EventPrinter(context, output, maximumLinesPerSecond, codec, process, clock));
	}

	@Override
	public Receive<EventLog.Command> createReceive() {
		return newReceiveBuilder().onMessage(EventLog.Append.class, this::onAppend)
			.onMessage(EventLog.Close.class, this::onClose)
			.build();
	}

	private Behavior<EventLog.Command> onAppend(EventLog.Append command) {
		startPeriodWhenDue(command.event());
		if (this.printedLines < this.maximumLinesPerSecond) {
			this.printedLines++;
			print(command.event());
		}
		else {
			this.droppedLines++;
		}
		return this;
	}

	private Behavior<EventLog.Command> onClose(EventLog.Close command) {
		command.replyTo().tell(Done.getInstance());
		return this;
	}

	private void startPeriodWhenDue(Event newest) {
		long nowMillis = this.clock.millis();
		if (nowMillis - this.periodStartMillis < PERIOD_MILLIS) {
			return;
		}
		this.periodStartMillis = nowMillis;
		this.printedLines = 0;
		if (this.droppedLines > 0) {
			print(Event.of(EventKind.EVENTS_DROPPED, newest.timestamp()).with(EventField.COUNT, this.droppedLines));
			this.droppedLines = 0;
		}
	}

	private void print(Event event) {
		this.output.println(this.codec.encode(this.process, event));
	}

}
