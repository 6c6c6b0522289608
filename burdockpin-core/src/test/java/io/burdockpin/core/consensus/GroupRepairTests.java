package io.burdockpin.core.consensus;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import io.burdockpin.core.model.HostName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a group that stays one loss closer to its end after a host was replaced:
 * a host that is gone for good must make room for one that waits, without an operator and
 * without losing or changing a commit.
 */
class GroupRepairTests {

	private static final int SEEDS = 20;

	private static final long REQUEST_PERIOD_MILLIS = 1_000;

	/** The silence that counts, one request period and the time to catch up. */
	private static final long REPAIR_MILLIS = GroupRepair.SILENCE_MILLIS + REQUEST_PERIOD_MILLIS + 1_000;

	@ParameterizedTest
	@ValueSource(ints = { 3, 5 })
	void aWaitingHostSucceedsOneThatIsGoneAndTheGroupBearsItsFullNumberOfLossesAgain(int size) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			FakeCluster cluster = settledCluster(seed, size);
			cluster.loseHost(anyFollower(cluster));
			cluster.startEmptyHost("c9");
			cluster.runFor(REPAIR_MILLIS);
			Truth.assertWithMessage("seed %s", seed).that(voterHosts(cluster)).contains("c9");
			IntStream.rangeClosed(1, size / 2).forEach((loss) -> cluster.loseHost(anyFollower(cluster)));
			assertServes(cluster, seed);
		}
	}

	@Test
	void withoutARepairTheSecondLossStopsAGroupOfThree() {
		FakeCluster cluster = new FakeCluster(1, InjectedBug.NONE, 3);
		cluster.runFor(3_000);
		cluster.loseHost(anyFollower(cluster));
		cluster.startEmptyHost("c9");
		cluster.runFor(REPAIR_MILLIS);
		cluster.loseHost(anyFollower(cluster));
		cluster.runFor(5_000);
		Truth.assertThat(cluster.leader().isPresent()).isFalse();
	}

	@Test
	void aWaitingHostStaysOutsideWhileAllVotersAreInContact() {
		FakeCluster cluster = settledCluster(1, 3);
		cluster.startEmptyHost("c9");
		cluster.runFor(20_000);
		Truth.assertThat(voterHosts(cluster)).containsExactly("c1", "c2", "c3");
	}

	@Test
	void ofTwoWaitingHostsOnlyOneSucceedsTheHostThatIsGone() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			FakeCluster cluster = settledCluster(seed, 3);
			cluster.loseHost(anyFollower(cluster));
			cluster.startEmptyHost("c8");
			cluster.startEmptyHost("c9");
			cluster.runFor(2 * REPAIR_MILLIS);
			Truth.assertWithMessage("seed %s", seed).that(voterHosts(cluster)).hasSize(3);
			assertServes(cluster, seed);
		}
	}

	@Test
	void aHostThatIsLostWhileItJoinsMakesRoomForTheNext() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			FakeCluster cluster = settledCluster(seed, 3);
			cluster.loseHost(anyFollower(cluster));
			FakeMember first = cluster.startEmptyHost("c8");
			cluster.runFor(GroupRepair.SILENCE_MILLIS + cluster.random().nextInt(1_200));
			boolean isVoter = voterHosts(cluster).contains("c8");
			cluster.loseHost(first);
			cluster.startEmptyHost("c9");
			cluster.runFor(2 * REPAIR_MILLIS);
			Truth.assertWithMessage("seed %s, c8 was a voter: %s", seed, isVoter)
				.that(voterHosts(cluster))
				.contains("c9");
			assertServes(cluster, seed);
		}
	}

	@Test
	void aVoterThatWasOnlySilentComesBackWithoutHarm() {
		for (long seed = 1; seed <= SEEDS; seed++) {
			FakeCluster cluster = settledCluster(seed, 3);
			cluster.startEmptyHost("c9");
			FakeMember silent = anyFollower(cluster);
			cluster.isolate(silent);
			cluster.runFor(2_500 + cluster.random().nextInt(4_000));
			cluster.heal();
			cluster.runFor(REPAIR_MILLIS);
			Truth.assertWithMessage("seed %s", seed).that(voterHosts(cluster)).hasSize(3);
			cluster.loseHost(anyFollower(cluster));
			assertServes(cluster, seed);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 3, 5, 6 })
	void noCommitIsLostWhileHostsAreReplacedDuringPartitionsFreezesAndRestarts(int hosts) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			int size = Math.min(hosts, 5);
			FakeCluster cluster = settledCluster(seed, size);
			if (hosts > size) {
				cluster.startEmptyHost("c6");
			}
			cluster.lossPercent = cluster.random().nextInt(15);
			HostReplacements replacements = new HostReplacements(cluster, size);
			replacements.injectNext();
			cluster.runFor(40_000);
			replacements.end();
			cluster.runFor(15_000);
			Truth.assertWithMessage("seed %s", seed).that(voterHosts(cluster)).hasSize(size);
			assertServes(cluster, seed);
		}
	}

	@Test
	void aVoterOfTheSameDataCentreIsNotAddedForOneThatIsSilentForAShortTime() {
		GroupRepair repair = new GroupRepair(3);
		MemberId candidate = new MemberId(new HostName("c4"), 7);
		Map<HostName, String> crowded = Map.of(new HostName("c2"), "dc2", new HostName("c4"), "dc2");
		Truth.assertThat(repair.decide(candidate, contact(GroupRepair.SILENCE_MILLIS, crowded)))
			.isEqualTo(AdmissionDecision.WAIT_DATA_CENTRE_CROWDED);
		Truth.assertThat(repair.decide(candidate, contact(GroupRepair.LONG_SILENCE_MILLIS, crowded)))
			.isEqualTo(AdmissionDecision.SUCCEED_SILENT_VOTER);
		Map<HostName, String> spread = Map.of(new HostName("c2"), "dc2", new HostName("c4"), "dc1");
		Truth.assertThat(repair.decide(candidate, contact(GroupRepair.SILENCE_MILLIS, spread)))
			.isEqualTo(AdmissionDecision.SUCCEED_SILENT_VOTER);
	}

	@Test
	void theBearableLossesCountTheVotersInContact() {
		GroupRepair repair = new GroupRepair(3);
		Truth.assertThat(repair.bearableLosses(contact(0, Map.of()))).isEqualTo(1);
		Truth.assertThat(repair.bearableLosses(contact(GroupRepair.SILENCE_MILLIS, Map.of()))).isEqualTo(0);
	}

	private static GroupContact contact(long silentMillis, Map<HostName, String> dataCentres) {
		List<Member> voters = List.of("c1", "c2", "c3")
			.stream()
			.map((host) -> new Member(new MemberId(new HostName(host), 1), MemberRole.VOTER, ""))
			.toList();
		return new GroupContact(voters.get(2).id(), new Membership(voters), Map.of(voters.get(0).id(), silentMillis),
				dataCentres);
	}

	private static FakeCluster settledCluster(long seed, int size) {
		FakeCluster cluster = new FakeCluster(seed, InjectedBug.NONE, size);
		requestAdmissions(cluster, new GroupRepair(size));
		proposeAlways(cluster);
		cluster.runFor(3_000);
		return cluster;
	}

	private static void requestAdmissions(FakeCluster cluster, GroupRepair repair) {
		cluster.requestAdmissions(repair, Map.of());
		cluster.after(REQUEST_PERIOD_MILLIS, () -> requestAdmissions(cluster, repair));
	}

	private static void proposeAlways(FakeCluster cluster) {
		cluster.leader().ifPresent(cluster::propose);
		cluster.after(50, () -> proposeAlways(cluster));
	}

	private static FakeMember anyFollower(FakeCluster cluster) {
		FakeMember leader = cluster.leader().orElseThrow();
		List<FakeMember> followers = cluster.members()
			.stream()
			.filter((member) -> member != leader)
			.filter((member) -> voterHosts(cluster).contains(member.host().value()))
			.toList();
		return followers.get(cluster.random().nextInt(followers.size()));
	}

	private static List<String> voterHosts(FakeCluster cluster) {
		return cluster.leader()
			.map((leader) -> leader.replica.get().status().membership().voters())
			.orElse(List.of())
			.stream()
			.map((voter) -> voter.id().host().value())
			.collect(Collectors.toList());
	}

	private static void assertServes(FakeCluster cluster, long seed) {
		cluster.runFor(3_000);
		long committed = cluster.invariants().highestCommitted();
		cluster.runFor(2_000);
		Truth.assertWithMessage("seed %s", seed).that(cluster.invariants().violations()).isEmpty();
		Truth.assertWithMessage("seed %s", seed).that(cluster.invariants().highestCommitted()).isGreaterThan(committed);
	}

	/** Replaces hosts at random times while partitions, freezes and restarts go on. */
	private static final class HostReplacements {

		private final FakeCluster cluster;

		private final int size;

		private int startedHosts;

		private boolean ended;

		private HostReplacements(FakeCluster cluster, int size) {
			this.cluster = cluster;
			this.size = size;
		}

		private void injectNext() {
			if (this.ended) {
				return;
			}
			List<FakeMember> members = List.copyOf(this.cluster.members());
			FakeMember member = members.get(this.cluster.random().nextInt(members.size()));
			int millis = 500 + this.cluster.random().nextInt(4_000);
			switch (this.cluster.random().nextInt(5)) {
				case 0 -> replaceHost(member);
				case 1 -> {
					this.cluster.isolate(member);
					this.cluster.after(millis, this.cluster::heal);
				}
				case 2 -> this.cluster.freeze(member, millis);
				case 3 -> {
					this.cluster.crash(member);
					this.cluster.after(millis, () -> restart(member));
				}
				default -> this.cluster.handOver();
			}
			this.cluster.after(this.cluster.random().nextInt(3_000), this::injectNext);
		}

		// A host is only lost while the group is complete, since its disk is the loss
		// that
		// the group has to bear.
		private void replaceHost(FakeMember member) {
			Optional<ReplicaStatus> status = this.cluster.leader().map((leader) -> leader.replica.get().status());
			boolean isComplete = status.filter((known) -> known.membershipIndex() <= known.commitIndex())
				.map(ReplicaStatus::membership)
				.filter((membership) -> membership.members().size() == this.size)
				.filter((membership) -> membership.voters().stream().allMatch(this::isOnItsHost))
				.isPresent();
			if (isComplete) {
				this.cluster.loseHost(member);
				this.startedHosts++;
				String next = "n" + this.startedHosts;
				this.cluster.after(this.cluster.random().nextInt(3_000), () -> this.cluster.startEmptyHost(next));
			}
		}

		private boolean isOnItsHost(Member voter) {
			return this.cluster.members().stream().anyMatch((member) -> member.id().equals(voter.id()));
		}

		private void restart(FakeMember member) {
			if (this.cluster.members().contains(member)) {
				this.cluster.start(member);
			}
		}

		private void end() {
			this.ended = true;
			this.cluster.lossPercent = 0;
			this.cluster.heal();
			this.cluster.members().forEach(this.cluster::start);
		}

	}

}
