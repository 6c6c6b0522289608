package io.burdockpin.core.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Collects the effects of a replica. Delays messages that depend on writes until those
 * writes are synced. Mutable; owned by one replica.
 */
final class Outbox {

	private final Deque<HeldMessage> heldMessages = new ArrayDeque<>();

	private List<Effect> effects = new ArrayList<>();

	private long issuedNumber;

	private long syncedNumber;

	// access

	long issuedNumber() {
		return this.issuedNumber;
	}

	long syncedNumber() {
		return this.syncedNumber;
	}

	List<Effect> drain() {
		List<Effect> drained = this.effects;
		this.effects = new ArrayList<>();
		return drained;
	}

	// effects

	void add(Effect effect) {
		this.effects.add(effect);
	}

	void sendAfterSync(Effect.Send message) {
		if (this.syncedNumber == this.issuedNumber) {
			add(message);
		}
		else {
			this.heldMessages.add(new HeldMessage(this.issuedNumber, message));
		}
	}

	long writeVote(long term, Optional<MemberId> votedFor) {
		this.issuedNumber++;
		add(new Effect.WriteVote(this.issuedNumber, term, votedFor));
		return this.issuedNumber;
	}

	long writeEntries(List<LogEntry> entries) {
		this.issuedNumber++;
		add(new Effect.WriteEntries(this.issuedNumber, entries));
		return this.issuedNumber;
	}

	long writeSnapshot(Snapshot snapshot, boolean discardLog) {
		this.issuedNumber++;
		add(new Effect.WriteSnapshot(this.issuedNumber, snapshot, discardLog));
		return this.issuedNumber;
	}

	void onSynced(long number) {
		this.syncedNumber = Math.max(this.syncedNumber, number);
		while (!this.heldMessages.isEmpty() && this.heldMessages.peek().number() <= this.syncedNumber) {
			add(this.heldMessages.poll().message());
		}
	}

	private record HeldMessage(long number, Effect.Send message) {

	}

}
