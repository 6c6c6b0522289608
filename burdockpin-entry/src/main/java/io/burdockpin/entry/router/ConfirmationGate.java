package io.burdockpin.entry.router;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.core.admission.ConfigurationFreshness;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.control.ControlCommand;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.StashBuffer;

/**
 * Holds callers back after the process was stopped for a while, until its configuration
 * is confirmed: a key may have been withdrawn meanwhile. Mutable; owned by the router.
 */
final class ConfirmationGate {

	static final String REASON = "this entry host was stopped for a while and confirms its configuration";

	/** Callers that are held back at once. */
	static final int CAPACITY = 1_000;

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * A withdrawn key must stop working within seconds. A full garbage collection takes
	 * less.
	 */
	private static final long LONGEST_PAUSE_MILLIS = 2_000;

	private final StashBuffer<RouterCommand> held;

	private final EntryIdentity identity;

	private final ActorRef<ControlCommand> control;

	private final ConfigurationFreshness freshness;

	private boolean closed;

	ConfirmationGate(StashBuffer<RouterCommand> held, EntryIdentity identity, ActorRef<ControlCommand> control) {
		this.held = held;
		this.identity = identity;
		this.control = control;
		this.freshness = new ConfigurationFreshness(LONGEST_PAUSE_MILLIS, identity.nowMillis());
	}

	/**
	 * Asks for a confirmation if the process was stopped since the last call. Called at
	 * least every second.
	 */
	void noticePause() {
		this.freshness.recordActivity(this.identity.nowMillis()).ifPresent((pause) -> {
			logger.atWarning().log("The process was stopped for a while. Asking for the newest configuration.");
			this.control.tell(new ControlCommand.ConfirmConfiguration(pause));
		});
	}

	/**
	 * Lets a command pass or holds it until the configuration is confirmed.
	 * @param command a command that comes with a key
	 * @return what happened to it
	 */
	Passage pass(RouterCommand command) {
		noticePause();
		if (this.freshness.isConfirmed()) {
			return Passage.OPEN;
		}
		if (this.closed || this.held.isFull()) {
			return Passage.REFUSED;
		}
		this.held.stash(command);
		return Passage.HELD;
	}

	/**
	 * Lets the held commands pass if no later pause needs a confirmation.
	 * @param pause the pause after which the confirmation was asked for
	 * @param router handles the commands
	 * @return the next behavior of the router
	 */
	Behavior<RouterCommand> confirmed(long pause, Behavior<RouterCommand> router) {
		this.freshness.confirm(pause);
		return this.freshness.isConfirmed() ? this.held.unstashAll(router) : router;
	}

	/**
	 * Holds nothing any more, before a planned stop. Held commands are handled again and
	 * refused, so that no caller is left without an answer.
	 * @param router handles the commands
	 * @return the next behavior of the router
	 */
	Behavior<RouterCommand> close(Behavior<RouterCommand> router) {
		this.closed = true;
		return this.held.unstashAll(router);
	}

	/** What happens to a command at the gate. */
	enum Passage {

		/** It is handled now. */
		OPEN,

		/** It is handled after the confirmation. */
		HELD,

		/** Too many are held, or the process is stopping. */
		REFUSED

	}

}
