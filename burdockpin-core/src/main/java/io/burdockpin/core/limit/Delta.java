package io.burdockpin.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

import io.burdockpin.core.model.TeamName;

/**
 * What has changed from one list with an item for each team to another. Immutable.
 *
 * @param <T> type of the items
 * @param changed new items and items with other values
 * @param removed teams without an item in the newer list
 */
record Delta<T>(List<T> changed, List<TeamName> removed) {

	static <T> Delta<T> between(List<T> base, List<T> newer, Function<T, TeamName> team) {
		Map<TeamName, T> left = byTeam(base, team);
		List<T> changed = new ArrayList<>();
		for (T item : newer) {
			if (!item.equals(left.remove(team.apply(item)))) {
				changed.add(item);
			}
		}
		return new Delta<>(changed, List.copyOf(left.keySet()));
	}

	List<T> appliedTo(List<T> base, Function<T, TeamName> team) {
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
