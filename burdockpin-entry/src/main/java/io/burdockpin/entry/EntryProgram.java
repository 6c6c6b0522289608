package io.burdockpin.entry;

import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

import io.burdockpin.core.model.Holder;
import io.burdockpin.entry.cfg.EntrySettings;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.GuardianCommand;
import io.burdockpin.runtime.service.ProgramBase;
import io.burdockpin.runtime.service.SteadyClock;
import io.burdockpin.runtime.settings.SettingsLoader;
import io.burdockpin.runtime.tls.ReloadableTlsIdentity;
import org.apache.pekko.actor.typed.Behavior;

/** Main class of the program {@code burdock-entry}. */
public final class EntryProgram extends ProgramBase<EntrySettings> {

	private final InstantSource clock;

	/**
	 * Creates the program.
	 * @param settingsLoader reads the settings file
	 * @param clock wall clock, also the source of the incarnation
	 */
	public EntryProgram(SettingsLoader settingsLoader, InstantSource clock) {
		super("burdock-entry", EntrySettings.class, settingsLoader);
		this.clock = clock;
	}

	/**
	 * Runs the program.
	 * @param args command-line arguments
	 */
	public static void main(String[] args) {
		ExitStatus status = new EntryProgram(new SettingsLoader(), SteadyClock.ofProcess()).run(args);
		System.exit(status.status());
	}

	@Override
	protected void checkFiles(EntrySettings settings) {
		currentTls(settings);
	}

	@Override
	protected Behavior<GuardianCommand> createGuardian(EntrySettings settings, CompletableFuture<ExitStatus> exit) {
		// The start time serves as the incarnation, because it increases with every start
		// without state on disk.
		Holder holder = new Holder(settings.self().host(), this.clock.millis());
		EntryIdentity identity = new EntryIdentity(holder, settings.self(), this.clock);
		return EntryGuardian.create(identity, settings, currentTls(settings), RandomGenerator.getDefault(), exit);
	}

	private static Optional<ReloadableTlsIdentity> currentTls(EntrySettings settings) {
		return settings.tls().map((tls) -> new ReloadableTlsIdentity(tls, settings.name()));
	}

}
