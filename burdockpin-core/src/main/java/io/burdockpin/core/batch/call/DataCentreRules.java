package io.burdockpin.core.batch.call;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.state.BatchCommand;
import io.burdockpin.core.batch.state.BatchState;

/**
 * Decides how the leader handles orders to close and to open data centres, based on the
 * replicated state. Immutable.
 *
 * @param configured the data centres in the settings of this process
 */
public record DataCentreRules(Set<String> configured) {

	public DataCentreRules {
		configured = Set.copyOf(configured);
	}

	/**
	 * Decides about an order. An order that changes nothing is committed too: an earlier
	 * one that was not committed yet may change the state before it.
	 * @param call the order
	 * @param state the replicated state
	 * @return a refusal if the data centre is not known, or a command to commit
	 */
	public CallDecision decide(FleetCall.DataCentreCall call, BatchState state) {
		if (!isKnown(call.dataCentre(), state)) {
			return new CallDecision.Answer(
					new FleetReply.Refused(FleetReply.Reason.NO_SUCH_DATA_CENTRE, Optional.empty()));
		}
		return new CallDecision.Commit((call instanceof FleetCall.CloseDataCentre)
				? new BatchCommand.CloseDataCentre(call.dataCentre(), call.origin())
				: new BatchCommand.OpenDataCentre(call.dataCentre(), call.origin()));
	}

	/**
	 * Reads the status of the known data centres.
	 * @param state the replicated state
	 * @return the status
	 */
	public FleetReply.DataCentres status(BatchState state) {
		Map<String, Integer> runners = new HashMap<>();
		for (RunnerRecord runner : state.runners()) {
			runners.merge(runner.dataCentre(), 1, Integer::sum);
		}
		Set<String> names = new TreeSet<>(this.configured);
		names.addAll(runners.keySet());
		names.addAll(state.closedDataCentres().keySet());
		List<FleetReply.DataCentreStatus> entries = names.stream()
			.map((name) -> new FleetReply.DataCentreStatus(name,
					Optional.ofNullable(state.closedDataCentres().get(name)), runners.getOrDefault(name, 0),
					state.runCountIn(name)))
			.toList();
		return new FleetReply.DataCentres(entries);
	}

	// A closed data centre can be opened although its runners are gone.
	private boolean isKnown(String dataCentre, BatchState state) {
		return this.configured.contains(dataCentre) || state.isClosed(dataCentre)
				|| state.runners().stream().anyMatch((runner) -> runner.dataCentre().equals(dataCentre));
	}

}
