package io.burdockpin.core.state;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.exc.ErrorCode;
import io.burdockpin.core.model.RequestId;

/**
 * Results of operator commands by request identifier, oldest first, for deduplication of
 * resends. Mutable and owned by the state machine. Results of submissions, cancellations,
 * claims and tokens are not stored, because applying them twice gives the same result.
 */
final class DedupTable {

	private static final long RETENTION_MILLIS = 24L * 3600 * 1000;

	private static final int MAX_RESULTS = 10_000;

	private final Map<RequestId, DedupRecord> results = new LinkedHashMap<>();

	// life cycle

	DedupTable restore(List<DedupRecord> restored) {
		restored.forEach((result) -> this.results.put(result.requestId(), result));
		return this;
	}

	// access

	Optional<CommandResult> firstResult(Proposal proposal) {
		return proposal.requestId()
			.filter((requestId) -> isDeduplicated(proposal.command()))
			.flatMap((requestId) -> Optional.ofNullable(this.results.get(requestId)))
			.map((first) -> resultOf(first, proposal.command()));
	}

	List<DedupRecord> list() {
		return List.copyOf(this.results.values());
	}

	// changes

	void record(Proposal proposal, long nowMillis, CommandResult result) {
		proposal.requestId()
			.filter((requestId) -> isDeduplicated(proposal.command()))
			.ifPresent((requestId) -> this.results.put(requestId,
					new DedupRecord(requestId, nowMillis, proposal.command(), result)));
	}

	void removeExpired(long nowMillis) {
		Iterator<DedupRecord> oldest = this.results.values().iterator();
		int excess = this.results.size() - MAX_RESULTS;
		while (oldest.hasNext()) {
			if (oldest.next().timeMillis() >= nowMillis - RETENTION_MILLIS && excess <= 0) {
				return;
			}
			oldest.remove();
			excess--;
		}
	}

	// helpers

	private static boolean isDeduplicated(Command command) {
		return command instanceof ConfigurationCommand || command instanceof MaintenanceCommand
				|| command instanceof TokenCommand.ForgetHost || changesJob(command);
	}

	// Without deduplication a resend would be rejected, because the first application has
	// changed the state of the job.
	private static boolean changesJob(Command command) {
		return command instanceof JobCommand.FinishJob || command instanceof JobCommand.InterruptJob
				|| command instanceof JobCommand.UnparkJob;
	}

	private static CommandResult resultOf(DedupRecord first, Command command) {
		if (first.command().equals(command)) {
			return first.result();
		}
		return new CommandResult.Rejected(ErrorCode.ALREADY_EXISTS,
				"the request identifier %s was used for another command".formatted(first.requestId()));
	}

}
