package io.burdockpin.batch.scheduler;

import java.time.InstantSource;
import java.util.Optional;

import io.burdockpin.batch.consensus.ReadOutcome;
import io.burdockpin.batch.port.SendWindow;

/**
 * Permission of a leader to send orders. It ends a short time after the latest
 * confirmation by a majority, before the members may elect another leader, and is renewed
 * well before that. Mutable; owned by the {@link SchedulerActor}.
 */
final class LeadershipPermit {

	/**
	 * No other member is elected within the minimum election timeout of 500 ms from the
	 * request of a confirmation that permits sending. A fifth is left as a margin for
	 * differences in clock rates.
	 */
	private static final int VALID_MILLIS = 400;

	/** As often as the leader's heartbeats, which a renewal replaces. */
	private static final int RENEWAL_MILLIS = 100;

	private final InstantSource clock;

	private final InstantSource wallClock;

	private Optional<SendWindow> window = Optional.empty();

	private boolean renewing;

	/** Time of the newest request in this term. */
	private Optional<Long> requestedMillis = Optional.empty();

	LeadershipPermit(InstantSource clock, InstantSource wallClock) {
		this.clock = clock;
		this.wallClock = wallClock;
	}

	/**
	 * Returns the time window in which orders may be sent.
	 * @return an open window, empty if the leadership was not confirmed recently
	 */
	Optional<SendWindow> openWindow() {
		return this.window.filter(SendWindow::maySend);
	}

	boolean isRenewalDue() {
		return !this.renewing
				&& this.requestedMillis.filter((requested) -> this.clock.millis() - requested < RENEWAL_MILLIS)
					.isEmpty();
	}

	/**
	 * Adds the next confirmation to the reads. Its window starts now, because the
	 * majority confirms the leadership at some time after now.
	 * @param reads confirms the leadership
	 */
	void renew(ConfirmedReads reads) {
		this.renewing = true;
		this.requestedMillis = Optional.of(this.clock.millis());
		SendWindow next = newWindow();
		reads.addSending(() -> onAnswer(Optional.of(next)), this::onRefused);
	}

	/**
	 * Opens a window for orders that wait for a confirmation of their own.
	 * @return a window that starts now and is valid only after that confirmation
	 */
	SendWindow newWindow() {
		return SendWindow.open(this.clock, this.wallClock, VALID_MILLIS);
	}

	/** Ends the permission, because this member has stepped down. */
	void revoke() {
		onAnswer(Optional.empty());
		this.requestedMillis = Optional.empty();
	}

	// A transfer may not succeed, so a leader that hands over asks again after the
	// renewal period.
	private void onRefused(ReadOutcome outcome) {
		if (outcome.permitsReading()) {
			onAnswer(Optional.empty());
		}
		else {
			revoke();
		}
	}

	private void onAnswer(Optional<SendWindow> granted) {
		this.renewing = false;
		this.window = granted;
	}

}
