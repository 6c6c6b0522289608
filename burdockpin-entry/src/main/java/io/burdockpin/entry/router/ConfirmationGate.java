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
	private static final long MAXIMUM_PAUSE_MILLIS = 2_000;

	private final StashBuffer<RouterCommand> stash;

	private final EntryIdentity identity;

	private final ActorRef<ControlCommand> control;

	private final ConfigurationFreshness freshness;

	private boolean closed;

	ConfirmationGate(StashBuffer<RouterCommand> held, EntryIdentity identity, ActorRef<ControlCommand> control) {
		this.stash = held;
		this.identity = identity;
		this.control = control;
		this.freshness = new ConfigurationFreshness(MAXIMUM_PAUSE_MILLIS, identity.nowMillis());
	}

	/**
	 * Asks for a confirmation if the process was stopped since the last call. Called at
	 * least every second.
	 */
	void detectPause() {
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
	Decision check(RouterCommand command) {
		detectPause();
		if (this.freshness.isConfirmed()) {
			return Decision.PROCEED;
		}
		if (this.closed || this.stash.isFull()) {
			return Decision.REFUSED;
		}
		this.stash.stash(command);
		return Decision.DEFERRED;
	}

	/**
	 * Lets the held commands pass if no later pause needs a confirmation.
	 * @param pause the pause after which the confirmation was asked for
	 * @param router handles the commands
	 * @return the next behavior of the router
	 */
	Behavior<RouterCommand> onConfirmed(long pause, Behavior<RouterCommand> router) {
		this.freshness.confirm(pause);
		return this.freshness.isConfirmed() ? this.stash.unstashAll(router) : router;
	}

	/**
	 * Holds nothing any more, before a planned stop. Held commands are handled again and
	 * refused, so that no caller is left without an answer.
	 * @param router handles the commands
	 * @return the next behavior of the router
	 */
	Behavior<RouterCommand> close(Behavior<RouterCommand> router) {
		this.closed = true;
		return this.stash.unstashAll(router);
	}

	/** What happens to a command at the gate. */
	enum Decision {

		/** It is handled now. */
		PROCEED,

		/** It is handled after the confirmation. */
		DEFERRED,

		/** Too many are held, or the process is stopping. */
		REFUSED

	}

}
