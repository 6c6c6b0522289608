package io.burdockpin.core.consensus;

import java.util.Optional;

import io.burdockpin.core.model.HostName;

/** One member of a {@link FakeCluster} with its disk. */
final class FakeMember {

	private final HostName host;

	FakeDisk disk;

	Optional<Replica> replica = Optional.empty();

	/** Grows with each start, so that what belongs to an earlier life is dropped. */
	long processIncarnation;

	long frozenUntilMillis;

	long diskHangsUntilMillis;

	long appliedIndex;

	long lastTerm;

	/** Highest term of its messages; a restart must not fall behind it. */
	long highestSentTerm;

	boolean syncScheduled;

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
