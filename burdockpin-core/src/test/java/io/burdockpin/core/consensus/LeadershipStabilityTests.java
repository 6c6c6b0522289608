package io.burdockpin.core.consensus;

import java.util.List;
import java.util.Random;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a change of leader that no failure of the leader or of its majority
 * explains. A failure message contains the seed of the run.
 */
class LeadershipStabilityTests {

	private static final int SEEDS = 8;

	private static final int FAULTS = 16;

	/** Changes of leader during the start of a group make the timeouts longer. */
	private static final long SETTLING_MILLIS = 12_000;

	private static final int MAXIMUM_FAULT_MILLIS = 4_000;

	/** Longer than a member needs to catch up and to become a voter again. */
	private static final int RETURN_MILLIS = 3_000;

	private static final int STEP_MILLIS = 50;

	@ParameterizedTest
	@ValueSource(ints = { 3, 5 })
	void theLeaderStaysWhileSingleOtherMembersFailAndReturn(int size) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			FakeCluster cluster = new FakeCluster(seed, InjectedBug.NONE, size);
			cluster.maximumSyncMillis = 1 + cluster.random().nextInt(60);
			cluster.runFor(SETTLING_MILLIS);
			FakeMember leader = cluster.leader().orElseThrow();
			long term = leader.replica.get().status().term();
			// A member whose log is complete is a candidate that others may vote for.
			boolean idle = seed % 2 == 0;
			for (int count = 0; count < FAULTS; count++) {
				MemberFault fault = MemberFault.values()[cluster.random().nextInt(MemberFault.values().length)];
				injectAndEnd(fault, cluster, leader, idle);
				Truth.assertWithMessage("seed %s, fault %s, %s", seed, count, fault)
					.that(leader.isLeader() && leader.replica.get().status().term() == term)
					.isTrue();
			}
			Truth.assertWithMessage("seed %s", seed).that(cluster.invariants().violations()).isEmpty();
		}
	}

	private static void injectAndEnd(MemberFault fault, FakeCluster cluster, FakeMember leader, boolean idle) {
		Random random = cluster.random();
		List<FakeMember> others = cluster.members().stream().filter((member) -> member != leader).toList();
		FakeMember member = others.get(random.nextInt(others.size()));
		MemberId id = member.id();
		int millis = random.nextInt(MAXIMUM_FAULT_MILLIS);
		fault.inject(cluster, leader, member, millis);
		run(cluster, leader, millis, idle);
		cluster.heal();
		for (int elapsedMillis = 0; elapsedMillis < RETURN_MILLIS; elapsedMillis += STEP_MILLIS) {
			fault.repair(cluster, member, id);
			run(cluster, leader, STEP_MILLIS, idle);
		}
	}

	private static void run(FakeCluster cluster, FakeMember leader, int millis, boolean idle) {
		for (int elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += STEP_MILLIS) {
			cluster.runFor(STEP_MILLIS);
			if (!idle && cluster.random().nextInt(4) == 0) {
				cluster.propose(leader);
			}
			cluster.read(leader);
		}
	}

	/** Kind of a fault of one member that does not lead. */
	private enum MemberFault {

		FREEZE {
			@Override
			void inject(FakeCluster cluster, FakeMember leader, FakeMember member, int millis) {
				cluster.freeze(member, millis);
			}
		},

		HANG {
			@Override
			void inject(FakeCluster cluster, FakeMember leader, FakeMember member, int millis) {
				cluster.hangDisk(member, millis);
			}
		},

		ISOLATE {
			@Override
			void inject(FakeCluster cluster, FakeMember leader, FakeMember member, int millis) {
				cluster.isolate(member);
			}
		},

		CUT_FROM_LEADER {
			@Override
			void inject(FakeCluster cluster, FakeMember leader, FakeMember member, int millis) {
				cluster.cutLink(leader.host(), member.host());
			}
		},

		CUT_TO_LEADER {
			@Override
			void inject(FakeCluster cluster, FakeMember leader, FakeMember member, int millis) {
				cluster.cutLink(member.host(), leader.host());
			}
		},

		CRASH {
			@Override
			void inject(FakeCluster cluster, FakeMember leader, FakeMember member, int millis) {
				cluster.crash(member);
			}

			@Override
			void repair(FakeCluster cluster, FakeMember member, MemberId earlier) {
				cluster.start(member);
			}
		},

		LOSE_DISK {
			@Override
			void inject(FakeCluster cluster, FakeMember leader, FakeMember member, int millis) {
				cluster.wipeDisk(member);
			}

			@Override
			void repair(FakeCluster cluster, FakeMember member, MemberId earlier) {
				cluster.change(MembershipChange.REPLACE, member.id());
			}
		},

		REMOVE_WHILE_ISOLATED {
			@Override
			void inject(FakeCluster cluster, FakeMember leader, FakeMember member, int millis) {
				cluster.isolate(member);
				cluster.change(MembershipChange.REMOVE, member.id());
			}

			@Override
			void repair(FakeCluster cluster, FakeMember member, MemberId earlier) {
				cluster.change(MembershipChange.ADD, earlier);
			}
		};

		abstract void inject(FakeCluster cluster, FakeMember leader, FakeMember member, int millis);

		/** Repeated from the end of the fault on. */
		void repair(FakeCluster cluster, FakeMember member, MemberId earlier) {
		}

	}

}
