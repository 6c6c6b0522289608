package io.burdockpin.testbench.program;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.PostStop;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Owns a text file to which a stand-in appends what it started and ended. Each line is
 * flushed, so that it survives a kill of the process. A failed write stops the actor and
 * with it the program, because a test must not miss a line.
 */
public final class LineFile extends AbstractBehavior<LineFile.Append> {

	private final Writer writer;

	private LineFile(ActorContext<Append> context, Writer writer) {
		super(context);
		this.writer = writer;
	}

	// life cycle

	/**
	 * Creates the behavior of a line file.
	 * @param file the file, created if missing
	 * @return the behavior
	 */
	public static Behavior<Append> create(Path file) {
		return Behaviors.setup((context) -> new LineFile(context, open(file)));
	}

	/**
	 * Creates a behavior that drops all lines.
	 * @return the behavior
	 */
	public static Behavior<Append> none() {
		return Behaviors.ignore();
	}

	@Override
	public Receive<Append> createReceive() {
		return newReceiveBuilder().onMessage(Append.class, this::onAppend)
			.onSignal(PostStop.class, (signal) -> onPostStop())
			.build();
	}

	private Behavior<Append> onAppend(Append append) throws IOException {
		this.writer.write(append.line() + "\n");
		this.writer.flush();
		return this;
	}

	private Behavior<Append> onPostStop() throws IOException {
		this.writer.close();
		return this;
	}

	// helpers

	private static Writer open(Path file) {
		try {
			Files.createDirectories(file.toAbsolutePath().getParent());
			return Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Appends a line.
	 *
	 * @param line the line without its end
	 */
	public record Append(String line) {

	}

}
