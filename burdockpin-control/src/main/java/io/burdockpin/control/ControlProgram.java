package io.burdockpin.control;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.codec.thrift.impl.ThriftEntryContentCodec;
import io.burdockpin.codec.thrift.impl.ThriftSnapshotCodec;
import io.burdockpin.control.replica.BackupState;
import io.burdockpin.control.storage.DiskFiles;
import io.burdockpin.control.storage.Identity;
import io.burdockpin.control.storage.MemberStorage;
import io.burdockpin.control.storage.StorageException;
import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.runtime.service.ExitStatus;
import io.burdockpin.runtime.service.GuardianCommand;
import io.burdockpin.runtime.service.ProgramBase;
import io.burdockpin.runtime.service.StartupException;
import io.burdockpin.runtime.service.SteadyClock;
import io.burdockpin.runtime.settings.SettingsLoader;
import io.burdockpin.runtime.tls.ReloadableTlsIdentity;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import org.apache.pekko.actor.typed.Behavior;

/** Entry point of {@code burdock-control}. Used by the main thread only. */
public final class ControlProgram extends ProgramBase<ControlSettings> {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private ControlProgram() {
		super("burdock-control", ControlSettings.class, new SettingsLoader());
	}

	/**
	 * Runs the program.
	 * @param args the command-line arguments
	 */
	public static void main(String[] args) {
		System.exit(new ControlProgram().run(args).status());
	}

	@Override
	protected void addArguments(ArgumentParser parser) {
		parser.addArgument("--format")
			.action(Arguments.storeTrue())
			.help("initialize the empty data folder for a voter of a new cluster and exit; "
					+ "never use it on a member that lost its disk");
		parser.addArgument("--restore")
			.metavar("FOLDER")
			.help("restore the empty data folder from the backup of any member and exit; "
					+ "only if all members are lost; use the same backup on each member");
		parser.addArgument("--incarnation")
			.type(Long.class)
			.metavar("N")
			.help("with --restore: the same number on each member, never used by this cluster before, "
					+ "for example the current time in seconds");
	}

	@Override
	protected void checkFiles(ControlSettings settings) {
		currentTls(settings);
	}

	@Override
	protected boolean runOneTimeAction(Namespace arguments, ControlSettings settings) {
		if (arguments.getString("restore") != null) {
			restore(settings, Path.of(arguments.getString("restore")), arguments.getLong("incarnation"));
			return true;
		}
		if (!arguments.getBoolean("format")) {
			return false;
		}
		try {
			new RunningMembersCheck(settings).requireNoneRunning();
			storage(settings).format(
					new Identity(settings.cluster(), settings.host(), ControlSettings.FORMATTED_INCARNATION, true),
					settings.toMembership());
			return true;
		}
		catch (StorageException ex) {
			throw startException(settings, ex);
		}
	}

	@Override
	protected Behavior<GuardianCommand> createGuardian(ControlSettings settings, CompletableFuture<ExitStatus> exit) {
		try {
			MemberStorage storage = storage(settings);
			Identity identity = new IdentityCheck(settings).ensureIdentity(storage);
			logger.atInfo().log("Member %s has incarnation %d.", identity.host(), identity.incarnation());
			return ControlGuardian.create(settings, currentTls(settings), identity, storage, SteadyClock.ofProcess(),
					RandomGenerator.getDefault(), exit);
		}
		catch (StorageException ex) {
			throw startException(settings, ex);
		}
	}

	private static void restore(ControlSettings settings, Path backup, Long incarnation) {
		if (incarnation == null || incarnation <= ControlSettings.FORMATTED_INCARNATION) {
			throw new StartupException(ExitStatus.USAGE, ErrorCode.BAD_REQUEST,
					"--restore requires --incarnation with a number above 1 that this cluster has never used", null);
		}
		if (!Files.isDirectory(backup)) {
			throw new StartupException(ExitStatus.STORAGE, ErrorCode.STORAGE_FAILED,
					"backup %s is not a directory".formatted(backup), null);
		}
		try {
			new RunningMembersCheck(settings).requireNoneRunning();
			MemberStorage source = storage(backup);
			String cluster = source.identity().map(Identity::cluster).orElse("");
			if (!cluster.equals(settings.cluster())) {
				throw StorageException.failed("%s is no backup of cluster %s".formatted(backup, settings.cluster()),
						null);
			}
			BackupState state = new BackupState(source.load());
			storage(settings).initialize(new Identity(settings.cluster(), settings.host(), incarnation, true),
					state.toSnapshot(settings.toMembership(incarnation)), state.term());
			System.out.println("Restored member %s with incarnation %d from index %d.".formatted(settings.host(),
					incarnation, state.lastIndex()));
		}
		catch (StorageException ex) {
			throw startException(settings, ex);
		}
	}

	private static Optional<ReloadableTlsIdentity> currentTls(ControlSettings settings) {
		return settings.tls().map((tls) -> new ReloadableTlsIdentity(tls, settings.host()));
	}

	private static MemberStorage storage(ControlSettings settings) {
		return storage(settings.toDataFolder());
	}

	private static MemberStorage storage(Path folder) {
		return new MemberStorage(new DiskFiles(folder), new ThriftEntryContentCodec(), new ThriftSnapshotCodec());
	}

	private static StartupException startException(ControlSettings settings, StorageException ex) {
		return new StartupException(ExitStatus.STORAGE, ex.getCode(),
				"data folder %s: %s".formatted(settings.dataFolder(), ex.getMessage()), ex);
	}

}
