package io.burdockpin.batch;

import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.batch.call.LeaderClientCommand;
import io.burdockpin.core.exc.BurdockException;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Reads the settings again while a process runs. The seeds are the only setting that is
 * taken over; all others need a restart. Immutable.
 */
final class SettingsReloader {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final Supplier<BatchSettings> source;

	SettingsReloader(Supplier<BatchSettings> source) {
		this.source = source;
	}

	void reload(ActorRef<LeaderClientCommand> leader) {
		try {
			BatchSettings settings = this.source.get();
			leader.tell(new LeaderClientCommand.AddMembers(settings.seedHosts()));
			logger.atInfo().log("Read the settings again; the seeds are %s.", settings.seeds());
		}
		catch (BurdockException ex) {
			logger.atWarning().withCause(ex).log("The settings cannot be read; the present ones stay in force.");
		}
	}

}
