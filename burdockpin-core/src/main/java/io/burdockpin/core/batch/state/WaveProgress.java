package io.burdockpin.core.batch.state;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.RunnerKey;

/** Progress of a maintenance wave. Mutable; owned by the {@link BatchState}. */
public final class WaveProgress {

	private final MaintenanceWave wave;

	private final Map<String, MaintenancePhase> hosts = new LinkedHashMap<>();

	/** The incarnation of the runner on each host when its maintenance was ordered. */
	private final Map<String, RunnerKey> orderedIncarnations = new LinkedHashMap<>();

	WaveProgress(MaintenanceWave wave) {
		this.wave = wave;
		wave.hosts().forEach((host) -> this.hosts.put(host, MaintenancePhase.PENDING));
	}

	WaveProgress(MaintenanceWave wave, Map<String, MaintenancePhase> hosts, Map<String, RunnerKey> orderedLives) {
		this.wave = wave;
		this.hosts.putAll(hosts);
		this.orderedIncarnations.putAll(orderedLives);
	}

	/**
	 * Returns the wave.
	 * @return the wave as ordered by the operator
	 */
	public MaintenanceWave wave() {
		return this.wave;
	}

	/**
	 * Returns the phases of the hosts.
	 * @return an unmodifiable view by host name
	 */
	public Map<String, MaintenancePhase> hosts() {
		return Collections.unmodifiableMap(this.hosts);
	}

	/**
	 * Returns the incarnations of the runners that the maintenance ends. A runner has
	 * returned once another incarnation is registered on its host.
	 * @return an unmodifiable view by host name, as of the time of each order
	 */
	public Map<String, RunnerKey> orderedIncarnations() {
		return Collections.unmodifiableMap(this.orderedIncarnations);
	}

	/**
	 * Tells whether the wave is completed.
	 * @return whether the phases of all hosts are final
	 */
	public boolean isCompleted() {
		return this.hosts.values().stream().allMatch(MaintenancePhase::isFinished);
	}

	/**
	 * Counts the hosts that may be down for the wave.
	 * @return the number of hosts whose maintenance is ordered or in progress
	 */
	public int downCount() {
		return (int) this.hosts.values().stream().filter(MaintenancePhase::isDown).count();
	}

	void setPhase(String host, MaintenancePhase phase, Optional<RunnerKey> incarnation) {
		this.hosts.replace(host, phase);
		if (phase == MaintenancePhase.ORDERED) {
			this.orderedIncarnations.remove(host);
			incarnation.ifPresent((key) -> this.orderedIncarnations.put(host, key));
		}
	}

}
