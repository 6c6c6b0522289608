package io.burdockpin.core.consensus;

import java.util.List;
import java.util.Optional;

import io.burdockpin.core.model.HostName;

/**
 * Injects random faults into a {@link FakeCluster} while clients propose and read and an
 * operator replaces wiped members.
 */
final class RandomFaultInjector {

	private final FakeCluster cluster;

	private Optional<HostName> wipedHost = Optional.empty();

	private boolean ended;

	RandomFaultInjector(FakeCluster cluster) {
		this.cluster = cluster;
	}

	/** Runs a phase with faults, then ends them and lets the cluster recover. */
	static FakeCluster run(long seed, InjectedBug injectedBug, long faultPhaseMillis) {
		FakeCluster cluster = new FakeCluster(seed, injectedBug, 3);
		cluster.lossPercent = cluster.random().nextInt(20);
		cluster.maximumSyncMillis = 1 + cluster.random().nextInt(60);
		RandomFaultInjector injector = new RandomFaultInjector(cluster);
		injector.injectNext();
		injector.runClients();
		injector.replaceWipedMember();
		cluster.runFor(faultPhaseMillis);
		injector.endFaults();
		cluster.runFor(15_000);
		return cluster;
	}

	private void injectNext() {
		if (this.ended) {
			return;
		}
		RandomFault[] kinds = RandomFault.values();
		kinds[this.cluster.random().nextInt(kinds.length)].inject(this, this.cluster, randomMember());
		this.cluster.after(this.cluster.random().nextInt(700), this::injectNext);
	}

	private void runClients() {
		FakeMember member = randomMember();
		if (this.cluster.random().nextInt(3) == 0) {
			this.cluster.read(member);
		}
		else {
			this.cluster.propose(this.cluster.leader().filter((leader) -> randomMember() != member).orElse(member));
		}
		this.cluster.after(this.cluster.random().nextInt(60), this::runClients);
	}

	private void replaceWipedMember() {
		this.wipedHost.map((host) -> this.cluster.member(host.value()))
			.ifPresent((member) -> this.cluster.change(MembershipChange.REPLACE, member.id()));
		if (this.wipedHost.filter(this::isReplaced).isPresent()) {
			this.wipedHost = Optional.empty();
		}
		this.cluster.after(200, this::replaceWipedMember);
	}

	// A replacement is complete once the leader's committed membership contains the new
	// incarnation as a voter. From then on another member may lose its disk.
	private boolean isReplaced(HostName host) {
		MemberId id = this.cluster.member(host.value()).id();
		return this.cluster.leader()
			.map((leader) -> leader.replica.get().status())
			.filter((status) -> status.membershipIndex() <= status.commitIndex() && status.membership().isVoter(id))
			.isPresent();
	}

	private void endFaults() {
		this.ended = true;
		this.cluster.lossPercent = 0;
		this.cluster.heal();
		this.cluster.members().forEach((member) -> this.cluster.hangDisk(member, 0));
		this.cluster.members().forEach(this.cluster::start);
	}

	private FakeMember randomMember() {
		List<FakeMember> members = List.copyOf(this.cluster.members());
		return members.get(this.cluster.random().nextInt(members.size()));
	}

	private boolean mayWipe(FakeMember member) {
		return this.wipedHost.isEmpty() && this.cluster.leader()
			.map((leader) -> leader.replica.get().status())
			.filter((status) -> status.membershipIndex() <= status.commitIndex())
			.map(ReplicaStatus::membership)
			.filter((membership) -> membership.voters().size() >= 3)
			.filter((membership) -> membership.isVoter(member.id()))
			.isPresent();
	}

	/** Kind of an injected fault or operator action. */
	private enum RandomFault {

		CRASH {
			@Override
			void inject(RandomFaultInjector injector, FakeCluster cluster, FakeMember member) {
				cluster.crash(member);
				cluster.after(cluster.random().nextInt(2000), () -> cluster.start(member));
			}
		},

		WIPE {
			@Override
			void inject(RandomFaultInjector injector, FakeCluster cluster, FakeMember member) {
				if (injector.mayWipe(member)) {
					injector.wipedHost = Optional.of(member.host());
					cluster.wipeDisk(member);
				}
			}
		},

		FREEZE {
			@Override
			void inject(RandomFaultInjector injector, FakeCluster cluster, FakeMember member) {
				cluster.freeze(member, cluster.random().nextInt(4000));
			}
		},

		HANG {
			@Override
			void inject(RandomFaultInjector injector, FakeCluster cluster, FakeMember member) {
				cluster.hangDisk(member, cluster.random().nextInt(6000));
			}
		},

		CUT_ONE_WAY {
			@Override
			void inject(RandomFaultInjector injector, FakeCluster cluster, FakeMember member) {
				cluster.cutLink(member.host(), injector.randomMember().host());
			}
		},

		ISOLATE {
			@Override
			void inject(RandomFaultInjector injector, FakeCluster cluster, FakeMember member) {
				cluster.isolate(member);
			}
		},

		HEAL {
			@Override
			void inject(RandomFaultInjector injector, FakeCluster cluster, FakeMember member) {
				cluster.heal();
			}
		},

		HAND_OVER {
			@Override
			void inject(RandomFaultInjector injector, FakeCluster cluster, FakeMember member) {
				cluster.handOver();
			}
		},

		ADD {
			@Override
			void inject(RandomFaultInjector injector, FakeCluster cluster, FakeMember member) {
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
			void inject(RandomFaultInjector injector, FakeCluster cluster, FakeMember member) {
				if (injector.mayWipe(member) && cluster.members().size() > 3) {
					cluster.change(MembershipChange.REMOVE, member.id());
				}
			}
		};

		abstract void inject(RandomFaultInjector injector, FakeCluster cluster, FakeMember member);

	}

}
