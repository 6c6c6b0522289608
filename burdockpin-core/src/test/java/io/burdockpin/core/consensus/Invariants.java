package io.burdockpin.core.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.burdockpin.core.model.Payload;

/** Checks the safety properties of the log over the whole history of a cluster. */
final class Invariants {

	private final Map<Long, MemberId> leaders = new HashMap<>();

	private final Map<Long, LogEntry> committed = new HashMap<>();

	private final Map<List<Long>, List<Object>> contents = new HashMap<>();

	private final List<String> violations = new ArrayList<>();

	private long highestCommitted;

	List<String> violations() {
		return this.violations;
	}

	long highestCommitted() {
		return this.highestCommitted;
	}

	long leaderCount() {
		return this.leaders.size();
	}

	void onElected(long term, MemberId leader) {
		MemberId known = this.leaders.putIfAbsent(term, leader);
		check(known == null || known.equals(leader), "term %d has leaders %s and %s", term, known, leader);
	}

	/**
	 * Checks log matching: two entries with the same index and term have the same content
	 * and the same previous term.
	 */
	void onStored(LogEntry entry, long previousTerm) {
		List<Object> stored = List.of(entry.content(), previousTerm);
		List<Object> known = this.contents.putIfAbsent(List.of(entry.index(), entry.term()), stored);
		check(known == null || known.equals(stored), "entry %d of term %d differs between two logs", entry.index(),
				entry.term());
	}

	boolean onApplied(MemberId member, LogEntry entry) {
		LogEntry known = this.committed.putIfAbsent(entry.index(), entry);
		check(known == null || known.equals(entry), "%s applies %s, but %s was committed", member, entry, known);
		this.highestCommitted = Math.max(this.highestCommitted, entry.index());
		return known == null;
	}

	void onCommitted(LogEntry entry, boolean majority) {
		check(majority, "entry %d is committed but not stored on a majority of disks", entry.index());
	}

	void checkNotDecreasing(MemberId member, String valueName, long before, long after) {
		check(after >= before, "%s of %s decreased from %d to %d", valueName, member, before, after);
	}

	void onReadConfirmed(MemberId leader, long requestedAtIndex, long index) {
		check(index >= requestedAtIndex, "%s confirms a read at %d, but %d was committed when the read started", leader,
				index, requestedAtIndex);
	}

	/** Checks that a member is permitted to send only after another one no longer is. */
	void checkPermissionEnded(MemberId member, MemberId successor, long permittedUntilMillis, long nowMillis) {
		check(nowMillis >= permittedUntilMillis, "%s may send from %d, but %s may send until %d", successor, nowMillis,
				member, permittedUntilMillis);
	}

	void onRestored(MemberId member, Snapshot snapshot) {
		Payload expected = stateAt(snapshot.index());
		check(snapshot.state().equals(expected), "%s restores a wrong state at %d", member, snapshot.index());
	}

	/**
	 * Returns the expected state of the state machine, a hash over all entries up to an
	 * index.
	 * @param index the last included log index
	 * @return the encoded state
	 */
	Payload stateAt(long index) {
		long hash = 17;
		for (long position = 1; position <= index; position++) {
			hash = hash * 31 + this.committed.get(position).toString().hashCode();
		}
		return Payload.ofText("state at %020d is %020d".formatted(index, hash));
	}

	private void check(boolean holds, String message, Object... arguments) {
		if (!holds) {
			this.violations.add(message.formatted(arguments));
		}
	}

}
