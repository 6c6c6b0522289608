package io.burdockpin.entry.router;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.core.admission.ConfigurationFreshness;
import io.burdockpin.entry.EntryIdentity;
import io.burdockpin.entry.control.ControlCommand;
import org.apache.pekko.actor.typed.ActorRef;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.StashBuffer;

/**
 * Defers commands that carry a key after a pause of the process until the configuration
 * is confirmed, because a key may have been withdrawn during the pause. Mutable; owned by
 * the router.
 */
final class ConfirmationGate {

	static final String REASON = "this entry host is confirming its configuration after a pause of its process";

	/** Maximum number of deferred commands. */
	static final int CAPACITY = 1_000;

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/**
	 * A withdrawn key must stop working within seconds, and full garbage collections are
	 * shorter.
	 */
	private static final long MAXIMUM_PAUSE_MILLIS = 2_000;

	private final StashBuffer<RouterCommand> stash;

	private final EntryIdentity identity;

	private final ActorRef<ControlCommand> control;

	private final ConfigurationFreshness freshness;

	private boolean closed;

	ConfirmationGate(StashBuffer<RouterCommand> stash, EntryIdentity identity, ActorRef<ControlCommand> control) {
		this.stash = stash;
		this.identity = identity;
		this.control = control;
		this.freshness = new ConfigurationFreshness(MAXIMUM_PAUSE_MILLIS, identity.nowMillis());
	}

	/**
	 * Requests a confirmation of the configuration if the process was paused since the
	 * last call. Must be called at least every second.
	 */
	void detectPause() {
		this.freshness.recordActivity(this.identity.nowMillis()).ifPresent((pause) -> {
			logger.atWarning()
				.log("The process was paused for more than %d ms. Requesting the newest configuration.",
						MAXIMUM_PAUSE_MILLIS);
			this.control.tell(new ControlCommand.ConfirmConfiguration(pause));
		});
	}

	/**
	 * Decides whether a command is handled now. A deferred command is stashed until the
	 * configuration is confirmed.
	 * @param command a command that carries a key
	 * @return the decision
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
	 * Handles a confirmation of the configuration. Unstashes the deferred commands unless
	 * a later pause still needs a confirmation.
	 * @param pause number of the pause that the confirmation belongs to
	 * @param router handles the commands
	 * @return the next behavior of the router
	 */
	Behavior<RouterCommand> onConfirmed(long pause, Behavior<RouterCommand> router) {
		this.freshness.confirm(pause);
		return this.freshness.isConfirmed() ? this.stash.unstashAll(router) : router;
	}

	/**
	 * Stops deferring commands before a graceful stop. Deferred commands are unstashed
	 * and refused, so that every caller gets a response.
	 * @param router handles the commands
	 * @return the next behavior of the router
	 */
	Behavior<RouterCommand> close(Behavior<RouterCommand> router) {
		this.closed = true;
		return this.stash.unstashAll(router);
	}

	/** How the router treats a command that carries a key. */
	enum Decision {

		/** The command is handled now. */
		PROCEED,

		/** The command is stashed and handled after the confirmation. */
		DEFERRED,

		/** The stash is full or the process is stopping. */
		REFUSED

	}

}
