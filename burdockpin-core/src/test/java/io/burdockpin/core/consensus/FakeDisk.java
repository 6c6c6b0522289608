package io.burdockpin.core.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;

/** In-memory data folder of one member. Unsynced writes are lost in a crash. */
final class FakeDisk {

	private final InjectedBug injectedBug;

	private final Deque<Effect> pending = new ArrayDeque<>();

	private final BiConsumer<LogEntry, Long> storedListener;

	private DurableState state;

	FakeDisk(InjectedBug injectedBug, MemberId self, Membership membership, BiConsumer<LogEntry, Long> storedListener) {
		this.injectedBug = injectedBug;
		this.storedListener = storedListener;
		this.state = new DurableState(self, 0, Optional.empty(), Snapshot.initial(membership), List.of());
	}

	DurableState state() {
		return this.state;
	}

	boolean isIdle() {
		return this.pending.isEmpty();
	}

	void add(Effect write) {
		this.pending.add(write);
	}

	long syncAll() {
		long number = 0;
		while (!this.pending.isEmpty()) {
			number = number(this.pending.peek());
			store(this.pending.poll());
		}
		return number;
	}

	void crash(int storedWrites) {
		for (int count = 0; count < storedWrites && !this.pending.isEmpty(); count++) {
			store(this.pending.poll());
		}
		this.pending.clear();
	}

	boolean holds(LogEntry entry) {
		return this.state.snapshot().index() >= entry.index() || this.state.entries().contains(entry);
	}

	static long number(Effect write) {
		if (write instanceof Effect.WriteVote vote) {
			return vote.number();
		}
		return (write instanceof Effect.WriteEntries entries) ? entries.number()
				: ((Effect.WriteSnapshot) write).number();
	}

	private void store(Effect write) {
		DurableState old = this.state;
		if (write instanceof Effect.WriteVote vote) {
			if (this.injectedBug != InjectedBug.VOTE_NOT_PERSISTED) {
				this.state = new DurableState(old.self(), vote.term(), vote.votedFor(), old.snapshot(), old.entries());
			}
		}
		else if (write instanceof Effect.WriteEntries added) {
			storeEntries(added.entries());
		}
		else if (write instanceof Effect.WriteSnapshot taken) {
			List<LogEntry> kept = old.entries()
				.stream()
				.filter((entry) -> !taken.discardLog() && entry.index() > taken.snapshot().index())
				.toList();
			this.state = new DurableState(old.self(), old.term(), old.votedFor(), taken.snapshot(), kept);
		}
	}

	private void storeEntries(List<LogEntry> added) {
		long firstIndex = added.get(0).index();
		List<LogEntry> entries = new ArrayList<>(this.state.entries());
		entries.removeIf((entry) -> entry.index() >= firstIndex);
		long nextIndex = this.state.snapshot().index() + entries.size() + 1;
		for (LogEntry entry : added) {
			if (entry.index() >= nextIndex) {
				long previousTerm = entries.isEmpty() ? this.state.snapshot().term()
						: entries.get(entries.size() - 1).term();
				entries.add(entry);
				this.storedListener.accept(entry, previousTerm);
			}
		}
		this.state = new DurableState(this.state.self(), this.state.term(), this.state.votedFor(),
				this.state.snapshot(), entries);
	}

}
