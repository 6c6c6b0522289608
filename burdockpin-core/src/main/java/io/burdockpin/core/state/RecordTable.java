package io.burdockpin.core.state;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;

import io.burdockpin.core.exc.ErrorCode;

/**
 * Versioned records, ordered by name. Mutable and owned by the state machine.
 *
 * @param <K> type of the names
 * @param <R> type of the records
 */
final class RecordTable<K extends Comparable<K>, R> {

	private final String kind;

	private final ErrorCode unknownCode;

	private final Function<R, K> name;

	private final ToLongFunction<R> version;

	private final Map<K, R> records = new TreeMap<>();

	RecordTable(String kind, ErrorCode unknownCode, Function<R, K> name, ToLongFunction<R> version) {
		this.kind = kind;
		this.unknownCode = unknownCode;
		this.name = name;
		this.version = version;
	}

	// life cycle

	RecordTable<K, R> restore(List<R> restored) {
		restored.forEach(this::put);
		return this;
	}

	// access

	Optional<R> find(K key) {
		return Optional.ofNullable(this.records.get(key));
	}

	R require(K key) {
		return find(key).orElseThrow(
				() -> new CommandRejectedException(this.unknownCode, "%s %s does not exist".formatted(this.kind, key)));
	}

	R require(K key, CommandContext context) {
		R found = require(key);
		context.checkVersion(this.kind + " " + key, this.version.applyAsLong(found));
		return found;
	}

	void requireAbsent(K key, CommandContext context) {
		context.checkVersion(this.kind + " " + key, find(key).map(this.version::applyAsLong).orElse(0L));
		CommandRejectedException.rejectIf(this.records.containsKey(key), ErrorCode.ALREADY_EXISTS, "%s %s exists",
				this.kind, key);
	}

	Stream<R> stream() {
		return this.records.values().stream();
	}

	List<R> list() {
		return List.copyOf(this.records.values());
	}

	// changes

	void put(R changed) {
		this.records.put(this.name.apply(changed), changed);
	}

	void remove(K key) {
		this.records.remove(key);
	}

}
