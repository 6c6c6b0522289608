package io.burdockpin.batch;

import java.security.SecureRandom;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.control.storage.Identity;
import io.burdockpin.control.storage.MemberStorage;
import io.burdockpin.control.storage.StorageException;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.MemberRole;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.model.HostName;

/**
 * Gives the data folder of a control member its identity. At the first start of a cluster
 * the seeds found the group by themselves; every other empty folder gets a random
 * incarnation and takes no part until the leader has admitted it. Immutable.
 */
final class MemberIdentity {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The data folders of the founders. */
	private static final long FOUNDING_INCARNATION = 1;

	private final BatchSettings settings;

	MemberIdentity(BatchSettings settings) {
		this.settings = settings;
	}

	Identity ensure(MemberStorage storage) {
		Identity identity = storage.identity().orElseGet(() -> create(storage));
		boolean fits = identity.cluster().equals(this.settings.cluster())
				&& identity.host().equals(this.settings.host());
		if (!fits) {
			throw StorageException.failed(
					"the folder belongs to member %s of cluster %s".formatted(identity.host(), identity.cluster()),
					null);
		}
		return identity;
	}

	private Identity create(MemberStorage storage) {
		boolean founds = this.settings.firstStart() && this.settings.seedHosts().contains(this.settings.host());
		long incarnation = founds ? FOUNDING_INCARNATION
				: new SecureRandom().nextLong(FOUNDING_INCARNATION + 1, Long.MAX_VALUE);
		Identity identity = new Identity(this.settings.cluster(), this.settings.host(), incarnation, founds);
		storage.format(identity, founds ? foundingMembership() : Membership.EMPTY);
		logger.atInfo()
			.log("New data folder with incarnation %d; it %s.", incarnation,
					founds ? "founds the group" : "waits to be admitted");
		return identity;
	}

	private Membership foundingMembership() {
		return new Membership(this.settings.seedHosts().stream().sorted().map(this::founder).toList());
	}

	private Member founder(String host) {
		return new Member(new MemberId(new HostName(host), FOUNDING_INCARNATION), MemberRole.VOTER,
				this.settings.toConsensusSettings().memberAddress(host));
	}

}
