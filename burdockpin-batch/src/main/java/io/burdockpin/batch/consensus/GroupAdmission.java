package io.burdockpin.batch.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.flogger.FluentLogger;
import io.burdockpin.core.consensus.AdmissionDecision;
import io.burdockpin.core.consensus.GroupContact;
import io.burdockpin.core.consensus.GroupRepair;
import io.burdockpin.core.consensus.Member;
import io.burdockpin.core.consensus.MemberId;
import io.burdockpin.core.consensus.Membership;
import io.burdockpin.core.consensus.MembershipChange;
import io.burdockpin.core.consensus.MembershipChangeResult;
import io.burdockpin.core.consensus.Replica;
import io.burdockpin.core.consensus.Role;
import io.burdockpin.core.model.HostName;
import io.burdockpin.runtime.metric.Metric;
import io.burdockpin.runtime.metric.MetricRegistry;

/**
 * Carries out the decisions of {@link GroupRepair} while this member leads, and logs each
 * decision when it changes. Not thread-safe; owned by the {@link ConsensusActor}.
 */
final class GroupAdmission {

	private static final FluentLogger logger = FluentLogger.forEnclosingClass();

	private final Replica replica;

	private final GroupRepair repair;

	private final MetricRegistry metrics;

	/** Data centres of the hosts that have asked to join. Members keep asking. */
	private final Map<HostName, String> dataCentres = new HashMap<>();

	private final Map<HostName, AdmissionDecision> loggedDecisions = new HashMap<>();

	GroupAdmission(Replica replica, ConsensusSettings settings, MetricRegistry metrics) {
		this.replica = replica;
		this.repair = new GroupRepair(settings.intendedVoters());
		this.metrics = metrics;
		this.dataCentres.put(new HostName(settings.host()), settings.dataCentre());
	}

	void onRequest(Member candidate, Optional<String> dataCentre, long nowMillis) {
		if (!leads()) {
			return;
		}
		dataCentre.ifPresent((name) -> this.dataCentres.put(candidate.id().host(), name));
		GroupContact contact = contact(nowMillis);
		AdmissionDecision decision = this.repair.decide(candidate.id(), contact);
		AdmissionDecision earlier = this.loggedDecisions.put(candidate.id().host(), decision);
		boolean isOrdinary = earlier == null && decision == AdmissionDecision.ALREADY_MEMBER;
		if (decision != earlier && !isOrdinary) {
			logger.atInfo()
				.log("Request of %s to join: %s; %s", candidate.id(), decision, describe(contact.membership()));
		}
		decision.change().ifPresent((change) -> apply(change, candidate, nowMillis));
		removeSurplus(nowMillis);
		this.metrics.record(Metric.BEARABLE_LOSSES, this.repair.bearableLosses(contact));
	}

	/**
	 * Removes a surplus voter or a learner that has become silent.
	 * @param nowMillis the current monotonic time
	 */
	void removeSurplus(long nowMillis) {
		if (leads()) {
			this.repair.surplus(contact(nowMillis))
				.ifPresent((member) -> apply(MembershipChange.REMOVE, member, nowMillis));
		}
	}

	/**
	 * Tells whether a change has to follow as soon as the latest one is committed.
	 * @param membership the newest membership in the log
	 * @return {@code true} if the group has a surplus voter
	 */
	boolean hasSurplusVoter(Membership membership) {
		return this.repair.hasSurplusVoter(membership);
	}

	private void apply(MembershipChange change, Member member, long nowMillis) {
		MembershipChangeResult result = this.replica.changeMembership(change, member, nowMillis);
		if (result.kind() != MembershipChangeResult.Kind.BUSY) {
			logger.atInfo().log("Membership change %s of %s: %s.", change, member.id(), result.kind());
		}
	}

	private boolean leads() {
		return this.replica.status().role() == Role.LEADER;
	}

	private GroupContact contact(long nowMillis) {
		Membership membership = this.replica.status().membership();
		Map<MemberId, Long> silentMillis = new HashMap<>();
		membership.members().forEach((member) -> {
			OptionalLong millis = this.replica.millisSinceContact(member.id(), nowMillis);
			millis.ifPresent((value) -> silentMillis.put(member.id(), value));
		});
		return new GroupContact(this.replica.status().self(), membership, silentMillis, this.dataCentres);
	}

	private static String describe(Membership membership) {
		return "%d voters, %d members.".formatted(membership.voters().size(), membership.members().size());
	}

}
