package io.burdockpin.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

import io.burdockpin.core.model.TeamName;

/**
 * The difference between two lists that have at most one item for each team. Immutable.
 *
 * @param <T> type of the items
 * @param changed items that were added or have a new value
 * @param removed teams whose item is missing from the newer list
 */
record Delta<T>(List<T> changed, List<TeamName> removed) {

	static <T> Delta<T> between(List<T> base, List<T> newer, Function<T, TeamName> team) {
		Map<TeamName, T> remaining = byTeam(base, team);
		List<T> changed = new ArrayList<>();
		for (T item : newer) {
			if (!item.equals(remaining.remove(team.apply(item)))) {
				changed.add(item);
			}
		}
		return new Delta<>(changed, List.copyOf(remaining.keySet()));
	}

	List<T> applyTo(List<T> base, Function<T, TeamName> team) {
		Map<TeamName, T> items = byTeam(base, team);
		this.changed.forEach((item) -> items.put(team.apply(item), item));
		this.removed.forEach(items::remove);
		return List.copyOf(items.values());
	}

	private static <T> Map<TeamName, T> byTeam(List<T> items, Function<T, TeamName> team) {
		Map<TeamName, T> byTeam = new TreeMap<>();
		items.forEach((item) -> byTeam.put(team.apply(item), item));
		return byTeam;
	}

}
