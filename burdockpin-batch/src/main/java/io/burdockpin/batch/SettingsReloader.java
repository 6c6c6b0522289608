package io.burdockpin.batch;

import java.util.function.Supplier;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.batch.call.LeaderClientCommand;
import io.burdockpin.core.exc.BurdockException;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Rereads the settings of a running process. Only changes of the seeds take effect; all
 * others require a restart. Immutable.
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
			logger.atInfo().log("Reloaded the settings; the seeds are %s.", settings.seeds());
		}
		catch (BurdockException ex) {
			logger.atWarning().withCause(ex).log("Failed to reload the settings; the current ones stay in effect.");
		}
	}

}
