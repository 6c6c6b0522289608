package io.burdockpin.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.state.TokenRecord;

/**
 * Reductions of token records that have been proposed and may still be applied. While a
 * reduction is pending, answers must not announce the higher count to the holder again.
 * Mutable, owned by the allocator.
 */
final class PendingReductions {

	private final Map<TokenKey, TokenRecord> reductions = new HashMap<>();

	void add(TokenRecord reduced) {
		this.reductions.put(TokenKey.of(reduced), reduced);
	}

	/**
	 * Finds the pending reduction of a record. A reduction is proposed for one version of
	 * the record and can no longer be applied once the version has changed.
	 * @param record the current record
	 * @return the reduced record, empty if no reduction is pending
	 */
	Optional<TokenRecord> of(TokenRecord record) {
		return Optional.ofNullable(this.reductions.get(TokenKey.of(record)))
			.filter((reduced) -> reduced.version() == record.version());
	}

}
