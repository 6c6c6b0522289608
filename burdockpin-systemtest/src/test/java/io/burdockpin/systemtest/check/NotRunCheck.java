package io.burdockpin.systemtest.check;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import io.burdockpin.systemtest.fleet.Caller.Answer;
import io.burdockpin.systemtest.fleet.StartRecords;

/** Compares answers that say "not run" with what the runners have started. Stateless. */
public final class NotRunCheck {

	private NotRunCheck() {
	}

	/**
	 * Finds identifiers that were started although no answer leaves that open. A start
	 * belongs to one of the sends of its identifier, so that it contradicts the answers
	 * only if all of them say "not run".
	 * @param answers all answers, those that never came included
	 * @param starts what the runners have started
	 * @return the identifiers with a false refusal
	 */
	public static Set<String> falseRefusals(List<Answer> answers, StartRecords starts) {
		Map<String, List<Answer>> byId = answers.stream()
			.collect(Collectors.groupingBy((answer) -> answer.request().requestId()));
		return starts.startedIds()
			.stream()
			.filter(byId::containsKey)
			.filter((id) -> byId.get(id).stream().allMatch(Answer::saysNotRun))
			.collect(Collectors.toSet());
	}

}
