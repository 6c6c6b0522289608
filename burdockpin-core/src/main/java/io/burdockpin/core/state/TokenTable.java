package io.burdockpin.core.state;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.TeamName;

/**
 * The tokens of each incarnation of an entry host, with their total for each team.
 * Mutable and owned by the state machine.
 */
final class TokenTable {

	private final Map<Key, TokenRecord> tokens = new TreeMap<>(Key.ORDER);

	private final Map<TeamName, Integer> totals = new HashMap<>();

	// life cycle

	TokenTable restore(List<TokenRecord> restored) {
		restored.forEach(this::put);
		return this;
	}

	// access

	TokenRecord getOrEmpty(TeamName team, Holder holder) {
		return Optional.ofNullable(this.tokens.get(new Key(team, holder)))
			.orElseGet(() -> new TokenRecord(team, holder, 0, 0, 0));
	}

	int totalOf(TeamName team) {
		return this.totals.getOrDefault(team, 0);
	}

	List<TokenRecord> list() {
		return List.copyOf(this.tokens.values());
	}

	// changes

	void put(TokenRecord changed) {
		Key key = new Key(changed.team(), changed.holder());
		int before = getOrEmpty(changed.team(), changed.holder()).count();
		this.totals.merge(changed.team(), changed.count() - before, Integer::sum);
		if (changed.count() == 0) {
			this.tokens.remove(key);
		}
		else {
			this.tokens.put(key, changed);
		}
	}

	void removeAll(Holder holder) {
		list().stream()
			.filter((token) -> token.holder().equals(holder))
			.forEach((token) -> put(new TokenRecord(token.team(), holder, 0, 0, 0)));
	}

	private record Key(TeamName team, Holder holder) {

		private static final Comparator<Key> ORDER = Comparator.comparing(Key::team)
			.thenComparing(Key::holder, HolderTable.ORDER);

	}

}
