package io.burdockpin.control.replica;

import java.time.InstantSource;
import java.util.Optional;

import io.burdockpin.control.storage.MemberStorage;
import io.burdockpin.core.consensus.DurableState;
import io.burdockpin.core.consensus.Effect;
import io.burdockpin.runtime.metric.Metric;
import io.burdockpin.runtime.metric.MetricRegistry;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Owns the files of this member. Writes in order and batches syncs: one sync covers all
 * writes that arrived before it. Any failure stops the actor, and with it the process,
 * without acknowledging the write.
 */
public final class LogWriter extends AbstractBehavior<LogWriter.Command> {

	private static final double MILLIS_PER_SECOND = 1000;

	private final MemberStorage storage;

	private final MetricRegistry metrics;

	private final InstantSource clock;

	private Optional<ActorRef<Written>> writtenListener = Optional.empty();

	private boolean syncScheduled;

	private long lastWriteNumber;

	private LogWriter(ActorContext<Command> context, MemberStorage storage, ActorRef<Loaded> loadedListener,
			MetricRegistry metrics, InstantSource clock) {
		super(context);
		this.storage = storage;
		this.metrics = metrics;
		this.clock = clock;
		loadedListener.tell(new Loaded(storage.load()));
	}

	// life cycle

	/**
	 * Creates the behavior of a log writer, which first loads the files.
	 * @param storage the files
	 * @param loadedListener receives the loaded state
	 * @param metrics the metrics of the process
	 * @param clock measures the duration of syncs
	 * @return the behavior of the log writer
	 */
	public static Behavior<Command> create(MemberStorage storage, ActorRef<Loaded> loadedListener,
			MetricRegistry metrics, InstantSource clock) {
		return Behaviors.setup((context) -> new LogWriter(context, storage, loadedListener, metrics, clock));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessage(Attach.class, this::onAttach)
			.onMessage(WriteVote.class, this::onWriteVote)
			.onMessage(WriteEntries.class, this::onWriteEntries)
			.onMessage(WriteSnapshot.class, this::onWriteSnapshot)
			.onMessageEquals(SyncDue.INSTANCE, this::onSyncDue)
			.build();
	}

	// helpers

	private Behavior<Command> onAttach(Attach command) {
		this.writtenListener = Optional.of(command.writtenListener());
		return this;
	}

	private Behavior<Command> onWriteVote(WriteVote command) {
		Effect.WriteVote write = command.write();
		this.storage.writeVote(write.term(), write.votedFor());
		return requestSync(write.number());
	}

	private Behavior<Command> onWriteEntries(WriteEntries command) {
		this.storage.append(command.write().entries());
		return requestSync(command.write().number());
	}

	private Behavior<Command> onWriteSnapshot(WriteSnapshot command) {
		Effect.WriteSnapshot write = command.write();
		this.storage.writeSnapshot(write.snapshot(), write.discardLog());
		return requestSync(write.number());
	}

	// The message to itself is delivered after all writes that are already in the
	// mailbox.
	private Behavior<Command> requestSync(long number) {
		this.lastWriteNumber = number;
		if (!this.syncScheduled) {
			this.syncScheduled = true;
			getContext().getSelf().tell(SyncDue.INSTANCE);
		}
		return this;
	}

	private Behavior<Command> onSyncDue() {
		this.syncScheduled = false;
		long startedMillis = this.clock.millis();
		this.storage.sync();
		this.metrics.record(Metric.SYNC_DURATION, (this.clock.millis() - startedMillis) / MILLIS_PER_SECOND);
		this.writtenListener.ifPresent((listener) -> listener.tell(new Written(this.lastWriteNumber)));
		return this;
	}

	/** Messages of the log writer. */
	public sealed interface Command {

	}

	/**
	 * Sets who is told of synced writes. Sent before the first write.
	 *
	 * @param writtenListener receives the numbers of synced writes
	 */
	public record Attach(ActorRef<Written> writtenListener) implements Command {

	}

	/**
	 * Writes term and vote.
	 *
	 * @param write term, vote and number of the write
	 */
	public record WriteVote(Effect.WriteVote write) implements Command {

	}

	/**
	 * Appends log entries.
	 *
	 * @param write entries and number of the write
	 */
	public record WriteEntries(Effect.WriteEntries write) implements Command {

	}

	/**
	 * Writes a snapshot.
	 *
	 * @param write snapshot and number of the write
	 */
	public record WriteSnapshot(Effect.WriteSnapshot write) implements Command {

	}

	private enum SyncDue implements Command {

		INSTANCE

	}

	/**
	 * The files were loaded.
	 *
	 * @param state the state in the files
	 */
	public record Loaded(DurableState state) {

	}

	/**
	 * All writes up to a number are synced.
	 *
	 * @param number number of the last synced write
	 */
	public record Written(long number) {

	}

}
