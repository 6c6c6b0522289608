package io.burdockpin.runtime.tls;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.runtime.settings.SettingsException;
import org.apache.pekko.actor.typed.Behavior;
import org.apache.pekko.actor.typed.javadsl.AbstractBehavior;
import org.apache.pekko.actor.typed.javadsl.ActorContext;
import org.apache.pekko.actor.typed.javadsl.Behaviors;
import org.apache.pekko.actor.typed.javadsl.Receive;

/**
 * Checks the certificate, key and trust files periodically and reloads changed ones for
 * new connections. If the files are invalid, the previous identity stays in use, so that
 * a renewal may replace the files one by one. Reads files, so it must run on a dispatcher
 * for blocking work.
 */
public final class CertificateWatcher extends AbstractBehavior<CertificateWatcher.Command> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** Leaves time to renew a certificate manually before links fail. */
	private static final Duration EXPIRY_WARNING = Duration.ofDays(7);

	private static final int WARN_EVERY_HOURS = 6;

	private final ReloadableTlsIdentity current;

	private CertificateWatcher(ActorContext<Command> context, ReloadableTlsIdentity current) {
		super(context);
		this.current = current;
	}

	// life cycle

	/**
	 * Creates the behavior.
	 * @param current the identity to reload; written by this actor only
	 * @return the behavior
	 */
	public static Behavior<Command> create(ReloadableTlsIdentity current) {
		Duration period = Duration.ofSeconds(current.settings().checkSeconds());
		return Behaviors.setup((context) -> Behaviors.withTimers((timers) -> {
			timers.startTimerWithFixedDelay(Command.CHECK, period);
			return new CertificateWatcher(context, current);
		}));
	}

	@Override
	public Receive<Command> createReceive() {
		return newReceiveBuilder().onMessageEquals(Command.CHECK, this::onCheck).build();
	}

	private Behavior<Command> onCheck() {
		try {
			if (this.current.hasChangedFiles()) {
				this.current.reload();
				logger.atInfo()
					.log("New connections use the changed certificate, valid until %s.",
							this.current.identity().notAfter());
			}
		}
		catch (SettingsException ex) {
			logger.atWarning().log("Keeps the old certificate: %s.", ex.getMessage());
		}
		warnBeforeExpiry();
		return this;
	}

	private void warnBeforeExpiry() {
		Instant notAfter = this.current.identity().notAfter();
		if (Instant.now().plus(EXPIRY_WARNING).isAfter(notAfter)) {
			logger.atWarning()
				.atMostEvery(WARN_EVERY_HOURS, TimeUnit.HOURS)
				.log("The certificate expires at %s.", notAfter);
		}
	}

	/** Messages of the watcher. */
	public enum Command {

		/** Checks the files for changes. */
		CHECK

	}

}
