package io.burdockpin.core.membership;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import io.burdockpin.core.membership.PeerMessage.PeerStatus;
import io.burdockpin.core.membership.PeerMessage.PeerStatusChange;
import io.burdockpin.core.membership.PeerMessage.QueueStatus;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostName;
import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.QueueName;
import io.burdockpin.core.routing.PeerLoad;
import io.burdockpin.core.util.RemoteClock;

/**
 * Tracks the other entry hosts: their last status, and which withdrawn keys they have
 * confirmed. Mutable; owned by one actor.
 */
public final class PeerTable {

	private final PeerInfo self;

	private final long silentAfterMillis;

	private final Map<HostName, Peer> peers = new TreeMap<>();

	private final Set<KeyHash> withdrawnKeys = new TreeSet<>();

	/**
	 * Creates a table in which all peers are silent.
	 * @param self this entry host
	 * @param peers the other entry hosts
	 * @param silentAfterMillis time without a status after which a peer is considered
	 * silent
	 */
	public PeerTable(PeerInfo self, List<PeerInfo> peers, long silentAfterMillis) {
		this.self = self;
		this.silentAfterMillis = silentAfterMillis;
		peers.forEach((info) -> this.peers.put(info.host(), new Peer(info)));
	}

	// events

	/**
	 * Handles a full status.
	 * @param host the sender
	 * @param incarnation incarnation of the sender
	 * @param status the received status
	 * @param nowMillis the current time
	 * @return {@code false} if the sender is not in the settings or the status is not
	 * newer than the last one
	 */
	public boolean onStatus(HostName host, long incarnation, PeerStatus status, long nowMillis) {
		Peer peer = this.peers.get(host);
		if (peer == null || incarnation < peer.incarnation) {
			return false;
		}
		if (incarnation > peer.incarnation) {
			peer.incarnation = incarnation;
			peer.confirmedKeys.clear();
			peer.clock = Optional.empty();
		}
		else if (peer.status.filter((known) -> known.number() >= status.number()).isPresent()) {
			return false;
		}
		peer.recordStatus(status, nowMillis);
		peer.updateClock(new RemoteClock(status.clockMillis(), nowMillis));
		return true;
	}

	/**
	 * Handles a change of a status.
	 * @param host the sender
	 * @param incarnation incarnation of the sender
	 * @param change the received change
	 * @param nowMillis the current time
	 * @return {@code false} if the change does not apply to the last status, so that the
	 * next full status is needed
	 */
	public boolean onStatusChange(HostName host, long incarnation, PeerStatusChange change, long nowMillis) {
		Peer peer = this.peers.get(host);
		boolean applies = peer != null && incarnation == peer.incarnation
				&& peer.status.filter((status) -> status.number() + 1 == change.number()).isPresent();
		if (applies) {
			peer.recordStatus(applyChange(peer.status.get(), change), nowMillis);
		}
		return applies;
	}

	/**
	 * Handles an opened or closed connection to a peer.
	 * @param host the peer
	 * @param connected whether the connection is open
	 */
	public void onLinkChange(HostName host, boolean connected) {
		Optional.ofNullable(this.peers.get(host)).ifPresent((peer) -> peer.setConnected(connected));
	}

	/**
	 * Adds withdrawn keys that the peers have to confirm.
	 * @param keyHashes hashes of the withdrawn keys
	 */
	public void addWithdrawnKeys(List<KeyHash> keyHashes) {
		this.withdrawnKeys.addAll(keyHashes);
	}

	/**
	 * Handles the confirmation of a peer that it no longer accepts some keys.
	 * @param host the peer
	 * @param keyHashes hashes of the confirmed keys
	 */
	public void onKeysConfirmed(HostName host, List<KeyHash> keyHashes) {
		Optional.ofNullable(this.peers.get(host)).ifPresent((peer) -> peer.confirmedKeys.addAll(keyHashes));
	}

	// access

	/**
	 * Returns the withdrawn keys that a peer has not confirmed.
	 * @param host the peer
	 * @return hashes of the keys, empty if the host is not a peer
	 */
	public List<KeyHash> unconfirmedKeys(HostName host) {
		Peer peer = this.peers.get(host);
		if (peer == null) {
			return List.of();
		}
		return this.withdrawnKeys.stream().filter((key) -> !peer.confirmedKeys.contains(key)).toList();
	}

	/**
	 * Returns the data centres with peers that have not confirmed a withdrawal.
	 * @param keyHash hash of the withdrawn key
	 * @return the data centres, sorted
	 */
	public List<DataCentre> unconfirmedDataCentres(KeyHash keyHash) {
		return this.peers.values()
			.stream()
			.filter((peer) -> !peer.confirmedKeys.contains(keyHash))
			.map((peer) -> peer.info.dataCentre())
			.distinct()
			.sorted()
			.toList();
	}

	/**
	 * Returns the available peers and their load.
	 * @param nowMillis the current time
	 * @return an immutable view
	 */
	public PeerView view(long nowMillis) {
		List<PeerInfo> availablePeers = new ArrayList<>();
		Map<QueueName, List<PeerLoad>> loads = new TreeMap<>();
		for (Peer peer : this.peers.values()) {
			if (acceptsWork(peer, nowMillis)) {
				availablePeers.add(peer.info);
				peer.loads()
					.forEach((queue, load) -> loads.computeIfAbsent(queue, (name) -> new ArrayList<>()).add(load));
			}
		}
		return new PeerView(this.self, availablePeers, loads);
	}

	/**
	 * Converts a deadline to the clock of a peer.
	 * @param host the peer
	 * @param deadlineMillis the deadline by the local clock
	 * @return a time of the peer's clock that is not after the deadline, empty if the
	 * peer has not sent a full status since the connection to it was opened
	 */
	public OptionalLong deadlineAt(HostName host, long deadlineMillis) {
		return RemoteClock.lowerBoundMillis(Optional.ofNullable(this.peers.get(host)).flatMap((peer) -> peer.clock),
				deadlineMillis);
	}

	/**
	 * Tells whether a peer is live, that is, not silent.
	 * @param host the peer
	 * @param nowMillis the current time
	 * @return {@code false} also if the host is not a peer
	 */
	public boolean isLive(HostName host, long nowMillis) {
		Peer peer = this.peers.get(host);
		return peer != null && peer.status.isPresent() && nowMillis - peer.lastContactMillis < this.silentAfterMillis;
	}

	/**
	 * Returns all peers, live or not.
	 * @return the peers as configured in the settings
	 */
	public List<PeerInfo> peers() {
		return this.peers.values().stream().map((peer) -> peer.info).toList();
	}

	// helpers

	private boolean acceptsWork(Peer peer, long nowMillis) {
		return peer.connected && isLive(peer.info.host(), nowMillis) && !peer.status.get().stopping();
	}

	private static PeerStatus applyChange(PeerStatus status, PeerStatusChange change) {
		Map<QueueName, QueueStatus> queues = new TreeMap<>();
		status.queues().forEach((queue) -> queues.put(queue.queue(), queue));
		change.queues().forEach((queue) -> queues.put(queue.queue(), queue));
		change.removed().forEach(queues::remove);
		return new PeerStatus(change.number(), status.dataCentre(), status.httpAddress(), change.stopping(),
				change.configurationIndex(), List.copyOf(queues.values()), status.clockMillis());
	}

	private static final class Peer {

		private final PeerInfo info;

		private final Set<KeyHash> confirmedKeys = new HashSet<>();

		private Optional<PeerStatus> status = Optional.empty();

		private Optional<RemoteClock> clock = Optional.empty();

		private long incarnation;

		private long lastContactMillis;

		private long statusCount;

		private boolean connected;

		private Peer(PeerInfo info) {
			this.info = info;
		}

		private void recordStatus(PeerStatus newStatus, long nowMillis) {
			this.status = Optional.of(newStatus);
			this.lastContactMillis = nowMillis;
			this.statusCount++;
		}

		private void updateClock(RemoteClock newer) {
			this.clock = Optional.of(RemoteClock.best(this.clock, newer));
		}

		// The peer may reconnect as a new process with another clock origin.
		private void setConnected(boolean nowConnected) {
			this.connected = nowConnected;
			if (!nowConnected) {
				this.clock = Optional.empty();
			}
		}

		private Map<QueueName, PeerLoad> loads() {
			Map<QueueName, PeerLoad> loads = new TreeMap<>();
			for (QueueStatus queue : this.status.get().queues()) {
				loads.put(queue.queue(), new PeerLoad(this.info.host(), this.info.dataCentre(), this.statusCount,
						queue.slots(), queue.freeSlots(), queue.waiting(), queue.serviceMillis()));
			}
			return loads;
		}

	}

}
