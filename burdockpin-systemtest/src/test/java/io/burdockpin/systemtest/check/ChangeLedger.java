package io.burdockpin.systemtest.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.state.QueueRecord;

/**
 * The changes that operators were told about, to be compared with the final state. A
 * version is the log index of the change, so that a change that was made twice has two
 * versions. Mutable; owned by one test.
 */
public final class ChangeLedger {

	private final Map<QueueName, Long> versions = new LinkedHashMap<>();

	private final List<String> contradictions = new ArrayList<>();

	// access

	/**
	 * Records a reply.
	 * @param queue the queue that was created
	 * @param version the version in the reply
	 */
	public void accepted(QueueName queue, long version) {
		Optional.ofNullable(this.versions.putIfAbsent(queue, version))
			.filter((known) -> known != version)
			.ifPresent((known) -> this.contradictions
				.add("%s was created at %d and again at %d".formatted(queue, known, version)));
	}

	/**
	 * Compares the replies with the final state.
	 * @param queues the queues in the configuration
	 * @return what does not fit, in words
	 */
	public List<String> faults(List<QueueRecord> queues) {
		List<String> faults = new ArrayList<>(this.contradictions);
		Map<QueueName, Long> found = new LinkedHashMap<>();
		queues.forEach((queue) -> found.put(queue.name(), queue.version()));
		this.versions.forEach((queue, version) -> {
			Optional<Long> foundVersion = Optional.ofNullable(found.get(queue));
			if (foundVersion.isEmpty()) {
				faults.add("%s of version %d is lost".formatted(queue, version));
			}
			else if (!foundVersion.get().equals(version)) {
				faults.add("%s has version %d instead of %d".formatted(queue, foundVersion.get(), version));
			}
		});
		return faults;
	}

}
