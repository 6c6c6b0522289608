package io.burdockpin.core.batch.call;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Simulates, in virtual time, a leader on one slow processor and the processes that
 * search for it. A follower responds immediately and names the leader. Requests on
 * connections that have been closed in the meantime cost the leader as much processor
 * time as others.
 */
final class BusyLeaderSimulation {

	private static final String LEADER = "leader";

	private static final String FOLLOWER = "follower";

	private static final long RESPONSE_TIMEOUT_MILLIS = 600;

	private static final long LEADER_WAIT_MILLIS = 2_000;

	private static final long TICK_INTERVAL_MILLIS = 50;

	private static final long CHECK_INTERVAL_MILLIS = 250;

	private final long connectMillis;

	private final long callMillis;

	private final Deque<Work> queue = new ArrayDeque<>();

	private final List<Process> processes = new ArrayList<>();

	private long nowMillis = 1_000;

	/** Time until which the leader is occupied by the current request. */
	private long busyUntilMillis;

	private int connectionCount;

	/**
	 * Creates the processes, which start to search for the leader immediately.
	 * @param processCount number of processes
	 * @param connectMillis processor time of the leader to accept a connection
	 * @param callMillis processor time of the leader to answer a call
	 */
	BusyLeaderSimulation(int processCount, long connectMillis, long callMillis) {
		this.connectMillis = connectMillis;
		this.callMillis = callMillis;
		for (int number = 0; number < processCount; number++) {
			this.processes.add(new Process(this.nowMillis));
		}
	}

	/** Keeps the leader from answering for a time. */
	void occupy(long millis) {
		this.busyUntilMillis = this.nowMillis + millis;
	}

	void run(long millis) {
		long untilMillis = this.nowMillis + millis;
		while (this.nowMillis < untilMillis) {
			this.nowMillis += TICK_INTERVAL_MILLIS;
			work();
			this.processes.forEach(Process::tick);
		}
	}

	int connectionCount() {
		return this.connectionCount;
	}

	long readyCount() {
		return this.processes.stream().filter((process) -> process.search.isReady(this.nowMillis)).count();
	}

	private void work() {
		while (!this.queue.isEmpty() && this.busyUntilMillis <= this.nowMillis) {
			Work work = this.queue.remove();
			long startMillis = Math.max(this.busyUntilMillis, this.nowMillis - TICK_INTERVAL_MILLIS);
			this.busyUntilMillis = startMillis + (work.connects() ? this.connectMillis : this.callMillis);
			if (work.connection() == work.process().connection) {
				work.process().onDone(work);
			}
		}
	}

	private record Work(Process process, int connection, boolean connects) {

	}

	private final class Process {

		/** Calls that wait for the leader in this process. */
		private static final int OPEN_CALLS = 3;

		private final LeaderSearch search;

		private long lastCheckMillis;

		/** Number of the current connection to the leader; 0 if there is none. */
		private int connection;

		private boolean connected;

		private Process(long startMillis) {
			this.search = new LeaderSearch(List.of(LEADER, FOLLOWER), RESPONSE_TIMEOUT_MILLIS, LEADER_WAIT_MILLIS,
					startMillis);
			connect();
		}

		private void tick() {
			this.search.onTick(BusyLeaderSimulation.this.nowMillis).ifPresent(this::onTargetChange);
			if (BusyLeaderSimulation.this.nowMillis - this.lastCheckMillis >= CHECK_INTERVAL_MILLIS) {
				check();
			}
		}

		private void check() {
			this.lastCheckMillis = BusyLeaderSimulation.this.nowMillis;
			if (!this.search.target().equals(LEADER)) {
				this.search.onNotLeader(FOLLOWER, Optional.of(LEADER), BusyLeaderSimulation.this.nowMillis)
					.ifPresent(this::onTargetChange);
			}
			else if (this.connected) {
				sendCalls(1);
			}
		}

		private void onTargetChange(LeaderSearch.TargetChange change) {
			if (change.connectionsToClose().contains(LEADER)) {
				this.connection = 0;
				this.connected = false;
			}
			if (change.host().equals(LEADER) && this.connection == 0) {
				connect();
			}
			this.lastCheckMillis = 0;
		}

		private void connect() {
			BusyLeaderSimulation.this.connectionCount++;
			this.connection = BusyLeaderSimulation.this.connectionCount;
			BusyLeaderSimulation.this.queue.add(new Work(this, this.connection, true));
		}

		private void sendCalls(int calls) {
			for (int number = 0; number < calls; number++) {
				BusyLeaderSimulation.this.queue.add(new Work(this, this.connection, false));
			}
		}

		private void onDone(Work work) {
			if (work.connects()) {
				this.connected = true;
				sendCalls(1 + OPEN_CALLS);
			}
			else {
				this.search.onLeaderResponse(LEADER, BusyLeaderSimulation.this.busyUntilMillis);
			}
		}

	}

}
