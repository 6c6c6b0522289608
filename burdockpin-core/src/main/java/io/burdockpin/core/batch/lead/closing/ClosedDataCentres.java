package io.burdockpin.core.batch.lead.closing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import io.burdockpin.core.batch.lead.host.HostEntry;
import io.burdockpin.core.batch.lead.host.HostOrder;
import io.burdockpin.core.batch.lead.run.RunnerSession;
import io.burdockpin.core.batch.model.RunnerKey;
import io.burdockpin.core.batch.model.RunnerRecord;
import io.burdockpin.core.batch.state.BatchState;

/**
 * Tells the leader which runners and hosts are in closed data centres. Load: an operator
 * closes a data centre with hundreds of running tasks, starts on their way and hosts that
 * are being moved. Not thread-safe; owned by the leader.
 */
public final class ClosedDataCentres {

	private final BatchState state;

	/** Data centre by host, from the latest host list of the platform. */
	private final Map<String, String> dataCentres = new HashMap<>();

	/**
	 * Creates the view.
	 * @param state replicated state
	 */
	public ClosedDataCentres(BatchState state) {
		this.state = state;
	}

	/**
	 * Handles the platform's host list.
	 * @param hosts all hosts of the fleet
	 */
	public void onHostList(List<HostEntry> hosts) {
		this.dataCentres.clear();
		hosts.forEach((entry) -> entry.dataCentre().ifPresent((name) -> this.dataCentres.put(entry.host(), name)));
	}

	/**
	 * Returns the attributes of a runner as its session uses them. A runner in a closed
	 * data centre accepts no new tasks, like one that drains: runs that were never
	 * ordered are released, and starts without an answer are followed by stops. Its other
	 * orders go on.
	 * @param runner attributes as registered
	 * @return the same attributes, draining in a closed data centre
	 */
	public RunnerRecord forSession(RunnerRecord runner) {
		return this.state.isClosed(runner.dataCentre()) ? runner.withoutNewTasks() : runner;
	}

	/**
	 * Checks whether a host is in a closed data centre.
	 * @param host name of the host
	 * @return {@code false} also if its data centre is not known
	 */
	public boolean isClosedHost(String host) {
		if (this.state.closedDataCentres().isEmpty()) {
			return false;
		}
		return Optional.ofNullable(this.dataCentres.get(host))
			.or(() -> this.state.runnerOn(host).map(RunnerRecord::dataCentre))
			.filter(this.state::isClosed)
			.isPresent();
	}

	/**
	 * Checks whether an order must not be sent. Maintenance goes on in a closed data
	 * centre.
	 * @param order order that waits to be sent
	 * @return {@code true} for a move of a host in a closed data centre
	 */
	public boolean isWithdrawn(HostOrder order) {
		return order instanceof HostOrder.Move && isClosedHost(order.host());
	}

	/**
	 * Returns the sessions with runners that count as capacity.
	 * @param sessions all sessions
	 * @return the same map if no data centre is closed, else a copy without the runners
	 * in closed data centres
	 */
	public Map<RunnerKey, RunnerSession> openSessions(Map<RunnerKey, RunnerSession> sessions) {
		if (this.state.closedDataCentres().isEmpty()) {
			return sessions;
		}
		return sessions.entrySet()
			.stream()
			.filter((entry) -> !this.state.isClosed(entry.getValue().runner().dataCentre()))
			.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, (first, second) -> first,
					LinkedHashMap::new));
	}

}
