package io.burdockpin.core.batch.state;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import io.burdockpin.core.batch.model.MaintenanceWave;
import io.burdockpin.core.batch.model.RunnerKey;

/** How far a maintenance wave is. Mutable; belongs to the state machine. */
public final class WaveProgress {

	private final MaintenanceWave wave;

	private final Map<String, MaintenancePhase> hosts = new LinkedHashMap<>();

	/** The life of the runner on each host when its upkeep was ordered. */
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
	 * Returns the order of the operator.
	 * @return the wave
	 */
	public MaintenanceWave wave() {
		return this.wave;
	}

	/**
	 * Returns where each host stands.
	 * @return the phases by host
	 */
	public Map<String, MaintenancePhase> hosts() {
		return Collections.unmodifiableMap(this.hosts);
	}

	/**
	 * Returns the lives of the runners that the upkeep has ended or will end.
	 * @return the life on each host when its upkeep was ordered
	 */
	public Map<String, RunnerKey> orderedIncarnations() {
		return Collections.unmodifiableMap(this.orderedIncarnations);
	}

	/**
	 * Tells whether no host is left to maintain.
	 * @return whether the maintenance of each host has ended
	 */
	public boolean isCompleted() {
		return this.hosts.values().stream().allMatch(MaintenancePhase::isFinished);
	}

	/**
	 * Returns how many hosts may be down for the wave now.
	 * @return the number of hosts whose upkeep was ordered and is not over
	 */
	public int downCount() {
		return (int) this.hosts.values().stream().filter(MaintenancePhase::isDown).count();
	}

	void setPhase(String host, MaintenancePhase phase, Optional<RunnerKey> life) {
		this.hosts.replace(host, phase);
		if (phase == MaintenancePhase.ORDERED) {
			this.orderedIncarnations.remove(host);
			life.ifPresent((key) -> this.orderedIncarnations.put(host, key));
		}
	}

}
