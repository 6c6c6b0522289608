package io.burdockpin.core.state;

import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Claims ordered by the time in their request identifiers, so that expired ones are found
 * first. Mutable and owned by the state machine.
 */
final class ClaimTable {

	private final NavigableMap<ClaimKey, ClaimRecord> claims = new TreeMap<>();

	// life cycle

	ClaimTable restore(List<ClaimRecord> restored) {
		restored.forEach(this::put);
		return this;
	}

	// access

	Optional<ClaimRecord> find(ClaimKey key) {
		return Optional.ofNullable(this.claims.get(key));
	}

	List<ClaimRecord> list() {
		return List.copyOf(this.claims.values());
	}

	// changes

	void put(ClaimRecord changed) {
		this.claims.put(ClaimKey.of(changed), changed);
	}

	void remove(ClaimKey key) {
		this.claims.remove(key);
	}

	void removeClaimsBefore(long beforeMillis) {
		Optional<Map.Entry<ClaimKey, ClaimRecord>> oldest = oldest();
		while (oldest.isPresent() && oldest.get().getKey().identifierMillis() < beforeMillis) {
			this.claims.pollFirstEntry();
			oldest = oldest();
		}
	}

	// helpers

	private Optional<Map.Entry<ClaimKey, ClaimRecord>> oldest() {
		return Optional.ofNullable(this.claims.firstEntry());
	}

}
