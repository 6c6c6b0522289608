package io.burdockpin.core.batch.lead.run;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchState;

/**
 * What runners have announced to a leader in its term. Tells late announcements from
 * current ones. Not thread-safe; owned by the leader.
 */
public final class RunnerAnnouncements {

	/**
	 * A partition holds announcements up for some seconds. What a leaving runner
	 * announces after this time was sent after the departure, so that was one of an
	 * earlier incarnation.
	 */
	private static final int LATE_ANNOUNCEMENT_MILLIS = 10_000;

	private final BatchState state;

	private final long electedMillis;

	/**
	 * Sequence number of the latest announcement in this term. It may be higher than that
	 * of the registration, since announcements without changes are not committed.
	 */
	private final Map<RunnerKey, Long> announcedSequences = new HashMap<>();

	/** When this leader learned of a departure; the election, if it is missing. */
	private final Map<RunnerKey, Long> departedMillis = new HashMap<>();

	/** The latest registration of each runner that is being committed. */
	private final Map<RunnerKey, BatchCommand.RegisterRunner> proposedRegistrations = new HashMap<>();

	private final Map<RunnerKey, Long> announcedMillis = new HashMap<>();

	/**
	 * Creates an instance for a leader that has not heard any runner.
	 * @param state replicated state
	 * @param electedMillis monotonic time at which the leader was elected
	 */
	public RunnerAnnouncements(BatchState state, long electedMillis) {
		this.state = state;
		this.electedMillis = electedMillis;
	}

	/**
	 * Handles an announcement of a runner.
	 * @param runner announced state of the runner
	 * @param sequence number that increases with each announcement of an incarnation
	 * @param session session with the incarnation, if there is one
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return command to commit before the announcement is acknowledged, or empty if
	 * nothing changed or the runner cannot be used
	 */
	public Optional<BatchCommand> onAnnouncement(RunnerRecord runner, long sequence, Optional<RunnerSession> session,
			long nowMillis) {
		if (!isPoolKnown(runner)) {
			return Optional.empty();
		}
		boolean isOutdated = isOutdated(runner.key(), sequence, nowMillis);
		this.announcedSequences.merge(runner.key(), sequence, Math::max);
		if (isOutdated) {
			return Optional.empty();
		}
		this.announcedMillis.put(runner.key(), nowMillis);
		if (!runner.draining()) {
			this.departedMillis.remove(runner.key());
			session.ifPresent(RunnerSession::onReady);
		}
		boolean isKnown = this.state.runner(runner.key().id()).filter(runner::equals).isPresent()
				&& !this.proposedRegistrations.containsKey(runner.key());
		return isKnown ? Optional.empty()
				: Optional.of(registration(new BatchCommand.RegisterRunner(runner, OptionalLong.of(sequence))));
	}

	/**
	 * Handles the announcement that a runner is leaving.
	 * @param runner registered runner
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return command to commit before the departure is acknowledged
	 */
	public BatchCommand onDeparture(RunnerRecord runner, long nowMillis) {
		this.departedMillis.putIfAbsent(runner.key(), nowMillis);
		return registration(BatchCommand.RegisterRunner.departure(runner));
	}

	/**
	 * Handles a committed registration.
	 * @param registration the command
	 */
	public void onRegistered(BatchCommand.RegisterRunner registration) {
		this.proposedRegistrations.remove(registration.runner().key(), registration);
	}

	/**
	 * Returns when an incarnation announced itself last.
	 * @param incarnation incarnation of the runner
	 * @return monotonic time in milliseconds; that of the election if it has not since
	 */
	public long lastMillis(RunnerKey incarnation) {
		return this.announcedMillis.getOrDefault(incarnation, this.electedMillis);
	}

	/**
	 * Forgets other incarnations.
	 * @param known incarnations that are registered
	 */
	public void retainAll(Collection<RunnerKey> known) {
		this.announcedMillis.keySet().retainAll(known);
		this.announcedSequences.keySet().retainAll(known);
		this.departedMillis.keySet().retainAll(known);
	}

	/**
	 * Tells whether an announcement was overtaken by a later one of the same incarnation
	 * or by its departure, which a leader of any term has acknowledged.
	 * @param incarnation incarnation of the runner
	 * @param sequence number that increases with each announcement of an incarnation
	 * @param nowMillis current monotonic time, in milliseconds
	 * @return {@code true} if the announcement must have no effect
	 */
	public boolean isOutdated(RunnerKey incarnation, long sequence, long nowMillis) {
		boolean isLeaving = this.departedMillis.containsKey(incarnation) || this.state.isLeaving(incarnation);
		long departed = this.departedMillis.getOrDefault(incarnation, this.electedMillis);
		if (isLeaving && nowMillis - departed < LATE_ANNOUNCEMENT_MILLIS) {
			return true;
		}
		return sequence < this.announcedSequences.getOrDefault(incarnation, Long.MIN_VALUE)
				|| this.state.isOutdated(incarnation, sequence);
	}

	private BatchCommand registration(BatchCommand.RegisterRunner registration) {
		this.proposedRegistrations.put(registration.runner().key(), registration);
		return registration;
	}

	// An announcement of another writer may name a pool that does not exist. It must not
	// be contacted nor replace the runner on its host. If the runner is only earlier than
	// the configuration of its pool, its next announcement counts. A registered runner
	// remains registered when its pool is removed.
	private boolean isPoolKnown(RunnerRecord runner) {
		boolean isConfigured = this.state.configuration()
			.map((configuration) -> configuration.pool(runner.pool()).isPresent())
			.orElse(true);
		return isConfigured
				|| this.state.runner(runner.key()).filter((known) -> known.pool().equals(runner.pool())).isPresent();
	}

}
