package io.burdockpin.core.consensus;

import java.util.List;
import java.util.Optional;

import io.burdockpin.core.model.HostName;

/**
 * Lets random things happen to a {@link FakeCluster}, together with clients that propose
 * and read and an operator who replaces wiped members.
 */
final class RandomTrouble {

	private final FakeCluster cluster;

	private Optional<HostName> wiped = Optional.empty();

	private boolean ended;

	RandomTrouble(FakeCluster cluster) {
		this.cluster = cluster;
	}

	/** Runs the trouble, then lets everything recover. */
	static FakeCluster run(long seed, Fault fault, long troubleMillis) {
		FakeCluster cluster = new FakeCluster(seed, fault, 3);
		cluster.lossPercent = cluster.random().nextInt(20);
		cluster.slowestSyncMillis = 1 + cluster.random().nextInt(60);
		RandomTrouble trouble = new RandomTrouble(cluster);
		trouble.strike();
		trouble.useCluster();
		trouble.repair();
		cluster.runFor(troubleMillis);
		trouble.recover();
		cluster.runFor(15_000);
		return cluster;
	}

	private void strike() {
		if (this.ended) {
			return;
		}
		Trouble[] kinds = Trouble.values();
		kinds[this.cluster.random().nextInt(kinds.length)].strike(this, this.cluster, any());
		this.cluster.after(this.cluster.random().nextInt(700), this::strike);
	}

	private void useCluster() {
		FakeMember member = any();
		if (this.cluster.random().nextInt(3) == 0) {
			this.cluster.read(member);
		}
		else {
			this.cluster.propose(this.cluster.leader().filter((leader) -> any() != member).orElse(member));
		}
		this.cluster.after(this.cluster.random().nextInt(60), this::useCluster);
	}

	private void repair() {
		this.wiped.map((host) -> this.cluster.member(host.value()))
			.ifPresent((member) -> this.cluster.change(MembershipChange.REPLACE, member.id()));
		if (this.wiped.filter(this::isRepaired).isPresent()) {
			this.wiped = Optional.empty();
		}
		this.cluster.after(200, this::repair);
	}

	// A repair is complete once the leader's committed membership has the new incarnation
	// as a voter. Then the next member may lose its disk at once.
	private boolean isRepaired(HostName host) {
		MemberId id = this.cluster.member(host.value()).id();
		return this.cluster.leader()
			.map((leader) -> leader.replica.get().status())
			.filter((status) -> status.membershipIndex() <= status.commitIndex() && status.membership().isVoter(id))
			.isPresent();
	}

	private void recover() {
		this.ended = true;
		this.cluster.lossPercent = 0;
		this.cluster.heal();
		this.cluster.members().forEach((member) -> this.cluster.hang(member, 0));
		this.cluster.members().forEach(this.cluster::start);
	}

	private FakeMember any() {
		List<FakeMember> members = List.copyOf(this.cluster.members());
		return members.get(this.cluster.random().nextInt(members.size()));
	}

	private boolean mayWipe(FakeMember member) {
		return this.wiped.isEmpty() && this.cluster.leader()
			.map((leader) -> leader.replica.get().status())
			.filter((status) -> status.membershipIndex() <= status.commitIndex())
			.map(ReplicaStatus::membership)
			.filter((membership) -> membership.voters().size() >= 3)
			.filter((membership) -> membership.isVoter(member.id()))
			.isPresent();
	}

	/** What can happen. */
	private enum Trouble {

		CRASH {
			@Override
			void strike(RandomTrouble trouble, FakeCluster cluster, FakeMember member) {
				cluster.crash(member);
				cluster.after(cluster.random().nextInt(2000), () -> cluster.start(member));
			}
		},

		WIPE {
			@Override
			void strike(RandomTrouble trouble, FakeCluster cluster, FakeMember member) {
				if (trouble.mayWipe(member)) {
					trouble.wiped = Optional.of(member.host());
					cluster.wipe(member);
				}
			}
		},

		FREEZE {
			@Override
			void strike(RandomTrouble trouble, FakeCluster cluster, FakeMember member) {
				cluster.freeze(member, cluster.random().nextInt(4000));
			}
		},

		HANG {
			@Override
			void strike(RandomTrouble trouble, FakeCluster cluster, FakeMember member) {
				cluster.hang(member, cluster.random().nextInt(6000));
			}
		},

		CUT_ONE_WAY {
			@Override
			void strike(RandomTrouble trouble, FakeCluster cluster, FakeMember member) {
				cluster.cut(member.host(), trouble.any().host());
			}
		},

		ISOLATE {
			@Override
			void strike(RandomTrouble trouble, FakeCluster cluster, FakeMember member) {
				cluster.isolate(member);
			}
		},

		HEAL {
			@Override
			void strike(RandomTrouble trouble, FakeCluster cluster, FakeMember member) {
				cluster.heal();
			}
		},

		HAND_OVER {
			@Override
			void strike(RandomTrouble trouble, FakeCluster cluster, FakeMember member) {
				cluster.handOver();
			}
		},

		ADD {
			@Override
			void strike(RandomTrouble trouble, FakeCluster cluster, FakeMember member) {
				if (cluster.members().size() < 5) {
					int next = cluster.members().size() + 1;
					FakeMember added = cluster.create(new MemberId(new HostName("c" + next), 500 + next),
							Membership.EMPTY);
					cluster.change(MembershipChange.ADD, added.id());
				}
				else {
					cluster.change(MembershipChange.ADD, member.id());
				}
			}
		},

		REMOVE {
			@Override
			void strike(RandomTrouble trouble, FakeCluster cluster, FakeMember member) {
				if (trouble.mayWipe(member) && cluster.members().size() > 3) {
					cluster.change(MembershipChange.REMOVE, member.id());
				}
			}
		};

		abstract void strike(RandomTrouble trouble, FakeCluster cluster, FakeMember member);

	}

}
