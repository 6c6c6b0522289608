package io.burdockpin.testbench.runner;

import java.util.HashSet;
import java.util.Set;

/**
 * Decides which requests and connections a runner accepts and counts what breaks its
 * limits. Mutable; owned by the runner actor.
 */
public final class SlotTable {

	private final int slots;

	private final int maximumConnections;

	private final Set<String> startedRequests = new HashSet<>();

	private long started;

	private long ended;

	private long refused;

	private int running;

	private int connections;

	private long slotViolations;

	private long connectionViolations;

	private long doubleRuns;

	private long startedWhileLeaving;

	/**
	 * Creates an empty table.
	 * @param slots how many requests run at once
	 * @param maximumConnections how many connections may be open at once
	 */
	public SlotTable(int slots, int maximumConnections) {
		this.slots = slots;
		this.maximumConnections = maximumConnections;
	}

	// access

	/**
	 * Takes a slot for a request.
	 * @param requestId the identifier of the request
	 * @return {@code false} if all slots are in use
	 */
	public boolean start(String requestId) {
		if (this.running >= this.slots) {
			this.slotViolations++;
			this.refused++;
			return false;
		}
		if (!requestId.isEmpty() && !this.startedRequests.add(requestId)) {
			this.doubleRuns++;
		}
		this.started++;
		this.running++;
		return true;
	}

	/**
	 * Frees the slot of a request that has ended.
	 */
	public void end() {
		this.running--;
		this.ended++;
	}

	/**
	 * Counts a request that was refused before its start.
	 * @param afterLeavingWasAnswered whether the entry host had confirmed the leaving
	 */
	public void refuse(boolean afterLeavingWasAnswered) {
		this.refused++;
		if (afterLeavingWasAnswered) {
			this.startedWhileLeaving++;
		}
	}

	/**
	 * Records a new connection.
	 * @return {@code false} if all allowed connections are open
	 */
	public boolean connect() {
		if (this.connections >= this.maximumConnections) {
			this.connectionViolations++;
			return false;
		}
		this.connections++;
		return true;
	}

	/**
	 * Records a closed connection.
	 */
	public void disconnect() {
		this.connections--;
	}

	/**
	 * Returns how many requests run now.
	 * @return the number of slots in use
	 */
	public int running() {
		return this.running;
	}

	/**
	 * Returns all counts.
	 * @return the counts
	 */
	public RunnerCounts counts() {
		return new RunnerCounts(this.started, this.ended, this.refused, this.running, this.connections,
				this.slotViolations, this.connectionViolations, this.doubleRuns, this.startedWhileLeaving);
	}

}
