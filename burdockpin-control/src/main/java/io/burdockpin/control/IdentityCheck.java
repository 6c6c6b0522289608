package io.burdockpin.control;

import java.security.SecureRandom;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.control.storage.Identity;
import io.burdockpin.control.storage.MemberStorage;
import io.burdockpin.control.storage.StorageException;
import io.burdockpin.core.consensus.Membership;

/**
 * Ensures that the data folder has an identity and that it matches the settings.
 * Immutable.
 */
final class IdentityCheck {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final ControlSettings settings;

	IdentityCheck(ControlSettings settings) {
		this.settings = settings;
	}

	/**
	 * Reads the identity, or generates one with a random incarnation if the folder was
	 * not formatted. Such a member neither votes nor becomes a candidate until it is
	 * admitted to the cluster.
	 * @param storage the data folder
	 * @return an identity with the cluster and host of the settings
	 * @throws StorageException if the folder belongs to another member
	 */
	Identity ensureIdentity(MemberStorage storage) {
		Identity identity = storage.identity().orElseGet(() -> generateIdentity(storage));
		boolean matches = identity.cluster().equals(this.settings.cluster())
				&& identity.host().equals(this.settings.host());
		if (!matches) {
			throw StorageException.failed(
					"the folder belongs to member %s of cluster %s".formatted(identity.host(), identity.cluster()),
					null);
		}
		return identity;
	}

	private Identity generateIdentity(MemberStorage storage) {
		long incarnation = new SecureRandom().nextLong(ControlSettings.FORMATTED_INCARNATION + 1, Long.MAX_VALUE);
		Identity generated = new Identity(this.settings.cluster(), this.settings.host(), incarnation, false);
		storage.format(generated, Membership.EMPTY);
		logger.atWarning()
			.log("The data folder was not formatted. This member does not vote until incarnation %d is admitted.",
					incarnation);
		return generated;
	}

}
