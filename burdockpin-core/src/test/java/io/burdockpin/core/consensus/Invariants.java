package io.burdockpin.core.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.burdockpin.core.model.Payload;

/** What must hold after every event, over the whole history of a cluster. */
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
	 * Logs with the same index and term hold the same entry there and the same one
	 * before.
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
		check(majority, "entry %d is committed without a majority of disks", entry.index());
	}

	void checkNotDecreasing(MemberId member, String valueName, long before, long after) {
		check(after >= before, "%s of %s fell from %d to %d", valueName, member, before, after);
	}

	void onReadConfirmed(MemberId leader, long requestedAtIndex, long index) {
		check(index >= requestedAtIndex, "%s confirms a read at %d, but %d was committed when it was asked", leader,
				index, requestedAtIndex);
	}

	void onRestored(MemberId member, Snapshot snapshot) {
		Payload expected = stateAt(snapshot.index());
		check(snapshot.state().equals(expected), "%s restores a wrong state at %d", member, snapshot.index());
	}

	/**
	 * Returns the state of the model machine, which depends on all commands up to an
	 * index.
	 * @param index the index
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
