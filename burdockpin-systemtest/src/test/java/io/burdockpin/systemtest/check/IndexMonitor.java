package io.burdockpin.systemtest.check;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.burdockpin.systemtest.fleet.EntryHost;

/**
 * Reads the configuration index of entry hosts again and again. A thread of its own owns
 * the last values; only the list of faults is shared.
 */
public final class IndexMonitor implements AutoCloseable {

	private static final long POLL_MILLIS = 50;

	private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();

	private final Map<String, Long> lastIndexes = new HashMap<>();

	private final ConcurrentLinkedQueue<String> stepsBack = new ConcurrentLinkedQueue<>();

	IndexMonitor() {
	}

	// life cycle

	/**
	 * Starts to read.
	 * @param entries the entry hosts
	 * @return the monitor
	 */
	public static IndexMonitor start(List<EntryHost> entries) {
		IndexMonitor monitor = new IndexMonitor();
		monitor.executor.scheduleWithFixedDelay(() -> entries.forEach(monitor::read), 0, POLL_MILLIS,
				TimeUnit.MILLISECONDS);
		return monitor;
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	// access

	/**
	 * Returns each time an index went back.
	 * @return the faults in words
	 */
	public List<String> stepsBack() {
		return List.copyOf(this.stepsBack);
	}

	// helpers

	void observe(String entry, long index) {
		long last = this.lastIndexes.getOrDefault(entry, 0L);
		if (index < last) {
			this.stepsBack.add("%s went from %d back to %d".formatted(entry, last, index));
		}
		this.lastIndexes.put(entry, index);
	}

	// A host that does not answer, or does not serve yet, says nothing about its index.
	private void read(EntryHost entry) {
		long index = entry.health().number("configurationIndex");
		if (index > 0) {
			observe(entry.name(), index);
		}
	}

}
