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
 * Prints events as JSON lines, a bounded number a second, and says how many were left
 * out. Give it {@link #MAILBOX}, so that the actors that send events never wait for it.
 */
public final class EventPrinter extends AbstractBehavior<EventLog.Command> {

	/** Events beyond this number are dropped while the printer is behind. */
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
	 * @param output where to print
	 * @param maximumLinesPerSecond bounds the volume
	 * @param codec the format
	 * @param process the process that prints
	 * @param clock a clock that follows the monotonic clock
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
