package io.burdockpin.benchmark.leader;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;

import io.burdockpin.core.batch.lead.run.RunnerOrder;
import io.burdockpin.core.batch.lead.run.RunnerReply;
import io.burdockpin.core.batch.model.RunOutcome;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.model.TaskId;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.model.Resources;

/**
 * Runner without faults in virtual time, whose tasks all run equally long. Mutable, used
 * by one thread.
 */
final class StandInRunner {

	static final Resources CAPACITY = new Resources(8_000, 16_384, 0);

	private final RunnerRecord runner;

	private final int taskMillis;

	private final Map<TaskId, Execution> running = new LinkedHashMap<>();

	private final List<BatchCommand.End> ends = new ArrayList<>();

	private long lastEnd;

	StandInRunner(int number, String pool, int taskMillis) {
		this.runner = new RunnerRecord(new RunnerKey("runner-" + number, 1), Optional.of("host-" + number), pool,
				"127.0.0.1:1", "dc1", Optional.empty(), CAPACITY, Set.of(), false);
		this.taskMillis = taskMillis;
	}

	RunnerRecord runner() {
		return this.runner;
	}

	RunnerReply handle(RunnerOrder order, long nowMillis) {
		if (order instanceof RunnerOrder.Start start) {
			this.running.putIfAbsent(start.task(), new Execution(start.run(), nowMillis + this.taskMillis));
		}
		else if (order instanceof RunnerOrder.Heartbeat heartbeat) {
			return list(heartbeat, nowMillis);
		}
		return new RunnerReply.Accepted(nowMillis);
	}

	private RunnerReply list(RunnerOrder.Heartbeat heartbeat, long nowMillis) {
		this.ends.removeIf((end) -> end.number() <= heartbeat.acknowledgedEnd());
		this.running.entrySet().removeIf((entry) -> {
			boolean isOver = entry.getValue().endMillis() <= nowMillis;
			if (isOver) {
				this.lastEnd++;
				this.ends.add(new BatchCommand.End(this.lastEnd, entry.getKey(), entry.getValue().run(),
						RunOutcome.DONE, ""));
			}
			return isOver;
		});
		List<RunnerReply.RunningTask> listed = this.running.entrySet()
			.stream()
			.map((entry) -> new RunnerReply.RunningTask(entry.getKey(), entry.getValue().run(), "", 50,
					OptionalInt.empty()))
			.toList();
		return new RunnerReply.Listing(nowMillis, OptionalLong.of(this.runner.key().bornMillis()), listed, this.ends,
				true);
	}

	private record Execution(int run, long endMillis) {

	}

}
