package io.burdockpin.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.state.TokenRecord;

/**
 * Reductions that were proposed and may still be applied. While one is pending its holder
 * must not be told the higher count again. Mutable, owned by the allocator.
 */
final class PendingReductions {

	private final Map<TokenKey, TokenRecord> reductions = new HashMap<>();

	void add(TokenRecord reduced) {
		this.reductions.put(TokenKey.of(reduced), reduced);
	}

	/**
	 * Finds the pending reduction of a record. A reduction is proposed for one version,
	 * so it cannot be applied any more when the record has another one.
	 * @param record the present record
	 * @return the reduced record, if a reduction is pending
	 */
	Optional<TokenRecord> of(TokenRecord record) {
		return Optional.ofNullable(this.reductions.get(TokenKey.of(record)))
			.filter((reduced) -> reduced.version() == record.version());
	}

}
