package io.burdockpin.core.consensus;

import java.util.Optional;

import io.burdockpin.core.model.HostName;

/** A member of a {@link FakeCluster} with its disk. */
final class FakeMember {

	private final HostName host;

	FakeDisk disk;

	Optional<Replica> replica = Optional.empty();

	/** Incremented at each start and crash to drop events of earlier incarnations. */
	long processIncarnation;

	long frozenUntilMillis;

	long diskHangsUntilMillis;

	long appliedIndex;

	long lastTerm;

	/** Highest term in sent messages. A restart must not fall behind it. */
	long highestSentTerm;

	boolean syncScheduled;

	/** Until when this member may send, according to its newest confirmed read. */
	long permittedUntilMillis;

	FakeMember(HostName host, FakeDisk disk) {
		this.host = host;
		this.disk = disk;
	}

	HostName host() {
		return this.host;
	}

	MemberId id() {
		return this.disk.state().self();
	}

	boolean isLeader() {
		return this.replica.filter((running) -> running.status().role() == Role.LEADER).isPresent();
	}

}
