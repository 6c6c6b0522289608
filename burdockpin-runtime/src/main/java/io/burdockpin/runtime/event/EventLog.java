package io.burdockpin.runtime.event;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.json.EventJsonCodec;
import io.burdockpin.codec.json.ProcessDescription;
import io.burdockpin.core.event.Event;
import org.apache.pekko.Done;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.PostStop;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Actor that writes the event file of a process, one JSON object per line. The file is
 * rotated at its size limit and one older file is kept. After a failed write, further
 * events are dropped and the process continues.
 */
public final class EventLog extends AbstractBehavior<EventLog.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final Path file;

	private final long maximumFileBytes;

	private final EventJsonCodec codec;

	private final ProcessDescription process;

	private Optional<FileChannel> channel = Optional.empty();

	private long writtenBytes;

	private EventLog(ActorContext<Command> context, Path file, long maximumFileBytes, EventJsonCodec codec,
			ProcessDescription process) {
		super(context);
		this.file = file;
		this.maximumFileBytes = maximumFileBytes;
		this.codec = codec;
		this.process = process;
		open();
	}

	// life cycle

	/**
	 * Creates the behavior of an event log.
	 * @param file the event file
	 * @param maximumFileBytes size at which the file is rotated
	 * @param codec encodes events as JSON
	 * @param process the process that each line names
	 * @return the behavior
	 */
	public static Behavior<Command> create(Path file, long maximumFileBytes, EventJsonCodec codec,
			ProcessDescription process) {
		return Behaviors.setup((context) -> new EventLog(context, file, maximumFileBytes, codec, process));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Append.class, this::onAppend)
			.onMessage(Close.class, this::onClose)
			.onSignal(PostStop.class, (signal) -> onPostStop())
			.build();
	}

	private Behavior<Command> onAppend(Append command) {
		if (this.channel.isPresent()) {
			append(this.codec.encode(this.process, command.event()) + "\n");
		}
		return this;
	}

	private Behavior<Command> onClose(Close command) {
		close();
		command.replyTo().tell(Done.getInstance());
		return this;
	}

	private Behavior<Command> onPostStop() {
		close();
		return this;
	}

	// helpers

	private void append(String line) {
		try {
			if (this.writtenBytes >= this.maximumFileBytes) {
				rotate();
			}
			ByteBuffer bytes = ByteBuffer.wrap(line.getBytes(StandardCharsets.UTF_8));
			this.writtenBytes += bytes.remaining();
			while (bytes.hasRemaining()) {
				this.channel.get().write(bytes);
			}
		}
		catch (IOException ex) {
			logger.atWarning()
				.withCause(ex)
				.log("Cannot write events to %s. All further events are dropped.", this.file);
			close();
		}
	}

	private void rotate() throws IOException {
		close();
		Files.move(this.file, this.file.resolveSibling(this.file.getFileName() + ".1"),
				StandardCopyOption.REPLACE_EXISTING);
		open();
	}

	private void open() {
		try {
			Files.createDirectories(this.file.toAbsolutePath().getParent());
			FileChannel opened = FileChannel.open(this.file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
			this.writtenBytes = opened.size();
			this.channel = Optional.of(opened);
		}
		catch (IOException ex) {
			logger.atWarning().withCause(ex).log("Cannot open the event file %s. Events are dropped.", this.file);
		}
	}

	private void close() {
		if (this.channel.isPresent()) {
			try {
				this.channel.get().close();
			}
			catch (IOException ex) {
				logger.atFine().withCause(ex).log("Cannot close %s.", this.file);
			}
			this.channel = Optional.empty();
		}
	}

	/** Messages of the event log. */
	public sealed interface Command {

	}

	/**
	 * Appends an event.
	 *
	 * @param event the event to write
	 */
	public record Append(Event event) implements Command {

	}

	/**
	 * Closes the file after the events received so far. Later events are dropped.
	 * Stopping the actor instead would lose the events that are still in its mailbox.
	 *
	 * @param replyTo notified when the file is closed
	 */
	public record Close(ActorRef<Done> replyTo) implements Command {

	}

}
