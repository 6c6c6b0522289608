package io.burdockpin.core.batch.lead.explore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.StepSpec;
import io.burdockpin.core.batch.model.TaskId;

/**
 * Lets the members of gangs work while all of them run, ends them together, and ends
 * those that wait for too long.
 */
final class ModelGangs {

	private static final int TIMEOUT_MILLIS = 3_000;

	private static final int WORK_MILLIS = 700;

	private final Map<String, Gang> gangs = new HashMap<>();

	void advance(ModelPlatform platform, ModelClients clients, long elapsedMillis, long nowMillis) {
		Map<String, List<Member>> present = new LinkedHashMap<>();
		platform.runners().forEach((runner) -> runner.running().forEach((task, execution) -> {
			StepSpec step = clients.submission(task.job()).get().spec().steps().get(task.step());
			if (step.gang()) {
				present
					.computeIfAbsent(
							"%s %d %d run %d".formatted(task.job(), task.occurrence(), task.step(), execution.run()),
							(key) -> new ArrayList<>())
					.add(new Member(runner, task, execution, step.taskCount()));
			}
		}));
		present.forEach((key, members) -> advance(this.gangs.computeIfAbsent(key, (name) -> new Gang()), members,
				elapsedMillis, nowMillis));
	}

	private static void advance(Gang gang, List<Member> members, long elapsedMillis, long nowMillis) {
		members.forEach((member) -> gang.joined.add(member.task()));
		boolean isComplete = members.size() == members.get(0).width();
		gang.workedMillis += isComplete ? elapsedMillis : 0;
		members.forEach((member) -> {
			if (members.size() < gang.joined.size()) {
				member.runner().end(member.task(), RunOutcome.BROKEN, nowMillis);
			}
			else if (gang.workedMillis >= WORK_MILLIS) {
				member.runner().end(member.task(), RunOutcome.DONE, nowMillis);
			}
			else if (!isComplete && nowMillis - member.execution().startMillis() > TIMEOUT_MILLIS) {
				member.runner().end(member.task(), RunOutcome.ALONE, nowMillis);
			}
		});
	}

	private record Member(ModelRunner runner, TaskId task, ModelRunner.Execution execution, int width) {

	}

	private static final class Gang {

		private final Set<TaskId> joined = new HashSet<>();

		private long workedMillis;

	}

}
