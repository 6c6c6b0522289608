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
 * Creates or checks the identity of the data folder of a control member. At the first
 * start of a cluster, the seeds form the initial group without being admitted. Every
 * other empty folder gets a random incarnation and takes part only after the leader has
 * admitted it. Immutable.
 */
final class MemberIdentity {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	/** The incarnation of the founding members. */
	private static final long FOUNDING_INCARNATION = 1;

	private final BatchSettings settings;

	MemberIdentity(BatchSettings settings) {
		this.settings = settings;
	}

	Identity loadOrCreate(MemberStorage storage) {
		Identity identity = storage.identity().orElseGet(() -> create(storage));
		boolean isOwn = identity.cluster().equals(this.settings.cluster())
				&& identity.host().equals(this.settings.host());
		if (!isOwn) {
			throw StorageException.failed(
					"the folder belongs to member %s of cluster %s".formatted(identity.host(), identity.cluster()),
					null);
		}
		return identity;
	}

	private Identity create(MemberStorage storage) {
		boolean isFounder = this.settings.firstStart() && this.settings.seedHosts().contains(this.settings.host());
		long incarnation = isFounder ? FOUNDING_INCARNATION
				: new SecureRandom().nextLong(FOUNDING_INCARNATION + 1, Long.MAX_VALUE);
		Identity identity = new Identity(this.settings.cluster(), this.settings.host(), incarnation, isFounder);
		storage.format(identity, isFounder ? foundingMembership() : Membership.EMPTY);
		logger.atInfo()
			.log("Created a data folder with incarnation %d as a %s.", incarnation,
					isFounder ? "founding member" : "member that waits for admission");
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
