package io.burdockpin.batch.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;

import io.burdockpin.batch.consensus.ReadOutcome;

/**
 * Actions of a leader that wait until a majority has confirmed its leadership. Actions
 * that are added together share one confirmation. Mutable; owned by the
 * {@link SchedulerActor}.
 */
final class ConfirmedReads {

	private final Map<Long, List<Consumer<ReadOutcome>>> requested = new HashMap<>();

	private final List<Consumer<ReadOutcome>> queued = new ArrayList<>();

	private long lastNumber;

	/**
	 * Adds an action to the next confirmation.
	 * @param whenConfirmed runs once this member is known to have led after this call
	 * @param whenRefused runs if that cannot be confirmed
	 */
	void add(Runnable whenConfirmed, Runnable whenRefused) {
		this.queued.add((outcome) -> (outcome.permitsReading() ? whenConfirmed : whenRefused).run());
	}

	/**
	 * Adds an action that sends what only a leader may send.
	 * @param whenPermitted runs once this member is known to lead and may send
	 * @param whenRefused receives any other outcome
	 */
	void addSending(Runnable whenPermitted, Consumer<ReadOutcome> whenRefused) {
		this.queued.add((outcome) -> {
			if (outcome.permitsSending()) {
				whenPermitted.run();
			}
			else {
				whenRefused.accept(outcome);
			}
		});
	}

	/**
	 * Closes the group of queued actions.
	 * @return the number of the read to request, empty if no action is queued
	 */
	OptionalLong nextRequest() {
		if (this.queued.isEmpty()) {
			return OptionalLong.empty();
		}
		this.lastNumber++;
		this.requested.put(this.lastNumber, List.copyOf(this.queued));
		this.queued.clear();
		return OptionalLong.of(this.lastNumber);
	}

	void onDone(long number, ReadOutcome outcome) {
		List<Consumer<ReadOutcome>> actions = this.requested.remove(number);
		if (actions != null) {
			actions.forEach((action) -> action.accept(outcome));
		}
	}

}
