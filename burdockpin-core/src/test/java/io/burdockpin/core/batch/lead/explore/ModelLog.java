package io.burdockpin.core.batch.lead.explore;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import io.burdockpin.core.batch.state.CommandGroup;

/**
 * The replicated log of a group of members: commits proposals in order, some of them
 * late. At a change of leader the proposals that are not committed are lost from some
 * point on; those before it are committed in the next term.
 */
final class ModelLog {

	private static final int MAXIMUM_FAST_MILLIS = 6;

	private static final int MAXIMUM_SLOW_MILLIS = 300;

	private final VirtualTime time;

	private final RandomGenerator random;

	private final Consumer<CommandGroup> members;

	private final Deque<Entry> open = new ArrayDeque<>();

	private double slowShare;

	private long lastCommitMillis;

	ModelLog(VirtualTime time, RandomGenerator random, Consumer<CommandGroup> members) {
		this.time = time;
		this.random = random;
		this.members = members;
	}

	void setSlowShare(double newSlowShare) {
		this.slowShare = newSlowShare;
	}

	void propose(CommandGroup group, Runnable onCommitted) {
		Entry entry = new Entry(group, onCommitted);
		this.open.add(entry);
		boolean isSlow = this.random.nextDouble() < this.slowShare;
		long delayMillis = 1 + this.random.nextInt(isSlow ? MAXIMUM_SLOW_MILLIS : MAXIMUM_FAST_MILLIS);
		this.lastCommitMillis = Math.max(this.lastCommitMillis, this.time.nowMillis() + delayMillis);
		this.time.after(this.lastCommitMillis - this.time.nowMillis(), () -> {
			if (this.open.peek() == entry) {
				commitNext();
			}
		});
	}

	boolean isSettled() {
		return this.open.isEmpty();
	}

	void changeLeader() {
		int kept = this.random.nextInt(this.open.size() + 1);
		for (int number = 0; number < kept; number++) {
			commitNext();
		}
		this.open.clear();
	}

	private void commitNext() {
		Entry entry = this.open.remove();
		this.members.accept(entry.group());
		entry.onCommitted().run();
	}

	/** A proposal. Compared by identity. */
	private static final class Entry {

		private final CommandGroup group;

		private final Runnable onCommitted;

		private Entry(CommandGroup group, Runnable onCommitted) {
			this.group = group;
			this.onCommitted = onCommitted;
		}

		private CommandGroup group() {
			return this.group;
		}

		private Runnable onCommitted() {
			return this.onCommitted;
		}

	}

}
