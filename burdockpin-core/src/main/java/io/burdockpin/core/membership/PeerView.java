package io.burdockpin.core.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32;

import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.routing.PeerLoad;

/**
 * The available entry hosts at one time. Immutable.
 *
 * @param self this entry host
 * @param availablePeers the peers that are connected, live and not stopping
 * @param loads load of these peers, by queue
 */
public record PeerView(PeerInfo self, List<PeerInfo> availablePeers, Map<QueueName, List<PeerLoad>> loads) {

	public PeerView {
		availablePeers = List.copyOf(availablePeers);
		loads = Map.copyOf(loads);
	}

	/**
	 * Chooses the entry host that a runner or worker should be attached to, by rendezvous
	 * hashing over the available hosts of the local data centre. While this host stops,
	 * hosts of other data centres are used if its own has no other one.
	 * @param announcerName name of the runner or worker
	 * @param selfStopping whether this entry host is stopping
	 * @return the HTTP address of the chosen host, empty if it is this one
	 */
	public Optional<String> attachTo(String announcerName, boolean selfStopping) {
		List<PeerInfo> candidates = new ArrayList<>();
		for (PeerInfo peer : this.availablePeers) {
			if (isInOwnDataCentre(peer) || selfStopping) {
				candidates.add(peer);
			}
		}
		if (!selfStopping) {
			candidates.add(this.self);
		}
		return candidates.stream()
			.max(Comparator.comparing(this::isInOwnDataCentre)
				.thenComparing((info) -> rank(announcerName, info.host()))
				.thenComparing(PeerInfo::host))
			.filter((info) -> !info.equals(this.self))
			.map(PeerInfo::httpAddress);
	}

	private boolean isInOwnDataCentre(PeerInfo info) {
		return info.dataCentre().equals(this.self.dataCentre());
	}

	private static long rank(String announcer, HostName host) {
		CRC32 checksum = new CRC32();
		checksum.update((host + "/" + announcer).getBytes(StandardCharsets.UTF_8));
		// CRC32 is linear, so without mixing the hosts would have the same order for all
		// names.
		long mixed = checksum.getValue() * 0x9E3779B97F4A7C15L;
		return (mixed ^ (mixed >>> 32)) * 0xD6E8FEB86659FD93L;
	}

}
