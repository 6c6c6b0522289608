package io.burdockpin.control;

import java.security.SecureRandom;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.control.storage.Identity;
import io.burdockpin.control.storage.MemberStorage;
import io.burdockpin.control.storage.StorageException;
import io.burdockpin.core.consensus.Membership;

/**
 * Makes sure that the data folder has an identity that fits the settings. Immutable.
 */
final class IdentityCheck {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final ControlSettings settings;

	IdentityCheck(ControlSettings settings) {
		this.settings = settings;
	}

	/**
	 * Reads the identity, or draws a random one for a folder that was not formatted. Such
	 * a member neither votes nor stands for election until it is admitted.
	 * @param storage the data folder
	 * @return the identity
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
			.log("The data folder was not formatted. This member waits until incarnation %d is admitted.", incarnation);
		return generated;
	}

}
