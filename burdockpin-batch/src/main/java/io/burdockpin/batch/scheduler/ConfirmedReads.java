package io.burdockpin.batch.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Actions of a leader that wait until a majority has confirmed its leadership. Actions
 * that are added together share one confirmation. Mutable; owned by the
 * {@link SchedulerActor}.
 */
final class ConfirmedReads {

	private final Map<Long, List<Action>> requested = new HashMap<>();

	private final List<Action> queued = new ArrayList<>();

	private long lastNumber;

	/**
	 * Adds an action to the next confirmation.
	 * @param whenConfirmed runs once this member is known to have led after this call
	 * @param whenRefused runs if that cannot be confirmed
	 */
	void add(Runnable whenConfirmed, Runnable whenRefused) {
		this.queued.add(new Action(whenConfirmed, whenRefused));
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

	void onDone(long number, boolean confirmed) {
		List<Action> actions = this.requested.remove(number);
		if (actions != null) {
			actions.forEach((action) -> (confirmed ? action.whenConfirmed() : action.whenRefused()).run());
		}
	}

	private record Action(Runnable whenConfirmed, Runnable whenRefused) {

	}

}
