package io.burdockpin.core.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;

import io.burdockpin.core.model.Payload;

/**
 * The log of one member: the newest snapshot, the entries after it, some retained entries
 * before it, and the synced and committed indexes. Mutable; owned by one replica.
 */
final class ReplicaLog {

	/**
	 * Limits the size of the entries that are retained for slow followers, relative to
	 * {@link ReplicaSettings#snapshotBytes()}.
	 */
	private static final int RETAINED_BYTES_DIVISOR = 4;

	private final Outbox outbox;

	private final ReplicaSettings settings;

	/** Memberships in index order; the first one is at or before the base index. */
	private final List<IndexedMembership> memberships = new ArrayList<>();

	private final Deque<PendingWrite> pendingWrites = new ArrayDeque<>();

	private List<LogEntry> entries;

	/** Index of the entry before the first retained one. */
	private long baseIndex;

	/** Term of the entry at the base index. */
	private long baseTerm;

	private Snapshot snapshot;

	private long writtenIndex;

	private long syncedIndex;

	private long commitIndex;

	/** Size of the entries committed since the newest snapshot. */
	private long committedBytes;

	ReplicaLog(Outbox outbox, ReplicaSettings settings, Snapshot snapshot, List<LogEntry> entries) {
		this.outbox = outbox;
		this.settings = settings;
		this.snapshot = snapshot;
		this.baseIndex = snapshot.index();
		this.baseTerm = snapshot.term();
		this.commitIndex = snapshot.index();
		this.entries = new ArrayList<>(entries);
		this.memberships.add(new IndexedMembership(snapshot.membershipIndex(), snapshot.membership()));
		entries.forEach(this::recordMembership);
		this.writtenIndex = lastIndex();
		this.syncedIndex = lastIndex();
	}

	// access

	long baseIndex() {
		return this.baseIndex;
	}

	long lastIndex() {
		return this.baseIndex + this.entries.size();
	}

	long lastTerm() {
		return this.entries.isEmpty() ? this.baseTerm : this.entries.get(this.entries.size() - 1).term();
	}

	long commitIndex() {
		return this.commitIndex;
	}

	long committedBytes() {
		return this.committedBytes;
	}

	long syncedIndex() {
		return this.syncedIndex;
	}

	Snapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * Returns the term of an entry.
	 * @param index the log index
	 * @return the term, empty if the entry is neither retained nor the base entry
	 */
	OptionalLong term(long index) {
		if (index == this.baseIndex) {
			return OptionalLong.of(this.baseTerm);
		}
		if (index < this.baseIndex || index > lastIndex()) {
			return OptionalLong.empty();
		}
		return OptionalLong.of(entry(index).term());
	}

	boolean matches(long index, long term) {
		return term(index).equals(OptionalLong.of(term));
	}

	Membership membership() {
		return lastMembership().membership();
	}

	long membershipIndex() {
		return lastMembership().index();
	}

	/**
	 * Tells whether any membership in this log contains a member. A data folder that was
	 * neither formatted nor admitted must not vote.
	 * @param id the member to look for
	 * @return {@code true} if a membership in the log contains it
	 */
	boolean hasAdmitted(MemberId id) {
		return this.memberships.stream().anyMatch((mark) -> mark.membership().find(id).isPresent());
	}

	/**
	 * Returns consecutive entries up to a total size, but at least one if there is any.
	 * @param firstIndex index of the first entry, after the base index
	 * @param maximumBytes maximum total size
	 * @return the entries, empty if the first index is after the end of the log
	 */
	List<LogEntry> slice(long firstIndex, int maximumBytes) {
		List<LogEntry> slice = new ArrayList<>();
		long sizeBytes = 0;
		for (long index = firstIndex; index <= lastIndex(); index++) {
			LogEntry entry = entry(index);
			sizeBytes += entry.sizeBytes();
			if (!slice.isEmpty() && sizeBytes > maximumBytes) {
				break;
			}
			slice.add(entry);
		}
		return slice;
	}

	/**
	 * Returns the first uncommitted index with the same term as the entry at an index.
	 * @param index index of a retained entry
	 * @return the first uncommitted index of that term, or the index itself if it is
	 * committed
	 */
	long firstIndexOfTermAt(long index) {
		long first = index;
		while (first > this.commitIndex + 1 && term(first - 1).equals(term(index))) {
			first--;
		}
		return first;
	}

	// changes

	/**
	 * Appends an entry created by this member as leader. {@link #writeIfIdle()} writes
	 * it.
	 * @param entry the entry after the last one
	 */
	void append(LogEntry entry) {
		this.entries.add(entry);
		recordMembership(entry);
	}

	/**
	 * Writes the appended entries unless an earlier write is still pending, so that all
	 * entries that arrive during a sync share the next one (group commit).
	 */
	void writeIfIdle() {
		if (this.pendingWrites.isEmpty()) {
			writeUnwritten();
		}
	}

	/**
	 * Writes all entries that are not written yet. Required when a leader steps down: the
	 * next leader may have the same entries and treat them as present in this log.
	 */
	void writeUnwritten() {
		if (this.writtenIndex < lastIndex()) {
			write(List.copyOf(this.entries.subList(offset(this.writtenIndex + 1), this.entries.size())));
		}
	}

	/**
	 * Stores entries received from the leader. Entries that are already present are
	 * skipped, so that a delayed duplicate does not truncate newer ones.
	 * @param received consecutive entries; the entry before the first one matches
	 */
	void store(List<LogEntry> received) {
		int position = 0;
		while (position < received.size() && contains(received.get(position))) {
			position++;
		}
		if (position < received.size()) {
			List<LogEntry> added = received.subList(position, received.size());
			truncateFrom(added.get(0).index());
			added.forEach(this::append);
			write(List.copyOf(added));
		}
	}

	void onSynced(long number) {
		while (!this.pendingWrites.isEmpty() && this.pendingWrites.peek().number() <= number) {
			this.syncedIndex = Math.max(this.syncedIndex, this.pendingWrites.poll().lastIndex());
		}
	}

	void commit(long index) {
		if (index <= this.commitIndex) {
			return;
		}
		List<LogEntry> committed = List.copyOf(this.entries.subList(offset(this.commitIndex + 1), offset(index + 1)));
		this.commitIndex = index;
		this.committedBytes += committed.stream().mapToLong(LogEntry::sizeBytes).sum();
		this.outbox.add(new Effect.Apply(committed));
	}

	/**
	 * Compacts the log with a snapshot of this member's own state machine.
	 * @param taken the snapshot, at a committed index
	 */
	void compact(Snapshot taken) {
		this.snapshot = taken;
		snapshotWritten(this.outbox.writeSnapshot(taken, false), taken.index());
		this.committedBytes = 0;
		dropUpTo(lastNotRetained(taken.index()));
	}

	/**
	 * Installs a snapshot received from the leader.
	 * @param received the snapshot, newer than the commit index
	 */
	void install(Snapshot received) {
		boolean suffixIsValid = matches(received.index(), received.term());
		this.snapshot = received;
		this.commitIndex = received.index();
		this.committedBytes = 0;
		if (suffixIsValid) {
			dropUpTo(received.index());
		}
		else {
			reset(received);
		}
		snapshotWritten(this.outbox.writeSnapshot(received, !suffixIsValid), received.index());
		this.outbox.add(new Effect.Restore(received));
	}

	Snapshot snapshotAt(long index, Payload state) {
		IndexedMembership mark = this.memberships.get(0);
		for (IndexedMembership candidate : this.memberships) {
			mark = (candidate.index() <= index) ? candidate : mark;
		}
		return new Snapshot(index, term(index).orElseThrow(), mark.index(), mark.membership(), state);
	}

	// helpers

	private boolean contains(LogEntry entry) {
		return entry.index() <= this.baseIndex || matches(entry.index(), entry.term());
	}

	private LogEntry entry(long index) {
		return this.entries.get(offset(index));
	}

	private int offset(long index) {
		return (int) (index - this.baseIndex - 1);
	}

	private IndexedMembership lastMembership() {
		return this.memberships.get(this.memberships.size() - 1);
	}

	private void recordMembership(LogEntry entry) {
		if (entry.content() instanceof EntryContent.MembershipContent content) {
			this.memberships.add(new IndexedMembership(entry.index(), content.membership()));
		}
	}

	private void write(List<LogEntry> written) {
		long number = this.outbox.writeEntries(written);
		this.writtenIndex = lastIndex();
		this.pendingWrites.add(new PendingWrite(number, this.writtenIndex));
	}

	// Entries covered by the snapshot need no write of their own.
	private void snapshotWritten(long number, long index) {
		this.writtenIndex = Math.max(this.writtenIndex, index);
		this.pendingWrites.add(new PendingWrite(number, index));
	}

	private void truncateFrom(long index) {
		if (index > lastIndex()) {
			return;
		}
		if (index <= this.commitIndex) {
			throw new IllegalStateException("entry %d is committed and cannot be replaced".formatted(index));
		}
		this.entries = new ArrayList<>(this.entries.subList(0, offset(index)));
		this.memberships.removeIf((mark) -> mark.index() >= index);
		limitWritten(index - 1);
	}

	private void limitWritten(long index) {
		this.writtenIndex = Math.min(this.writtenIndex, index);
		this.syncedIndex = Math.min(this.syncedIndex, index);
		this.pendingWrites.forEach((write) -> write.limit(index));
	}

	private long lastNotRetained(long snapshotIndex) {
		long index = snapshotIndex;
		long retainedBytes = 0;
		while (index > this.baseIndex && snapshotIndex - index < this.settings.retainedEntries()) {
			retainedBytes += entry(index).sizeBytes();
			if (retainedBytes > this.settings.snapshotBytes() / RETAINED_BYTES_DIVISOR) {
				break;
			}
			index--;
		}
		return index;
	}

	private void dropUpTo(long index) {
		if (index <= this.baseIndex) {
			return;
		}
		long droppedTerm = term(index).orElseThrow();
		this.entries = new ArrayList<>(this.entries.subList(offset(index + 1), this.entries.size()));
		this.baseIndex = index;
		this.baseTerm = droppedTerm;
		while (this.memberships.size() > 1 && this.memberships.get(1).index() <= index) {
			this.memberships.remove(0);
		}
	}

	private void reset(Snapshot received) {
		this.entries = new ArrayList<>();
		this.baseIndex = received.index();
		this.baseTerm = received.term();
		this.memberships.clear();
		this.memberships.add(new IndexedMembership(received.membershipIndex(), received.membership()));
		limitWritten(received.index());
	}

	private record IndexedMembership(long index, Membership membership) {

	}

	/**
	 * A write that is not synced yet. Its last index is lowered when the log is
	 * truncated.
	 */
	private static final class PendingWrite {

		private final long number;

		private long lastIndex;

		PendingWrite(long number, long lastIndex) {
			this.number = number;
			this.lastIndex = lastIndex;
		}

		long number() {
			return this.number;
		}

		long lastIndex() {
			return this.lastIndex;
		}

		void limit(long index) {
			this.lastIndex = Math.min(this.lastIndex, index);
		}

	}

}
