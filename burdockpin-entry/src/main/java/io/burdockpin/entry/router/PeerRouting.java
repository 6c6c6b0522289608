package io.burdockpin.entry.router;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;

import io.burdockpin.core.membership.PeerView;
import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.RunnerName;
import io.burdockpin.core.routing.PeerLoad;
import io.burdockpin.core.routing.PeerLoads;
import io.burdockpin.core.routing.Target;
import io.burdockpin.entry.cfg.EntrySettings;
import io.burdockpin.entry.peer.PeerCommand;
import org.apache.pekko.actor.typed.ActorRef;

/**
 * Chooses the entry hosts to which requests are forwarded and runners are redirected.
 * Mutable; owned by the router.
 */
final class PeerRouting {

	private final EntrySettings settings;

	private final DataCentre ownDataCentre;

	private final RandomGenerator random;

	private final PeerLoads loads = new PeerLoads();

	private Optional<PeerView> view = Optional.empty();

	private Optional<ActorRef<PeerCommand>> peers = Optional.empty();

	PeerRouting(EntrySettings settings, DataCentre ownDataCentre, RandomGenerator random) {
		this.settings = settings;
		this.ownDataCentre = ownDataCentre;
		this.random = random;
	}

	// configuration

	void update(RouterCommand.PeersChanged command) {
		this.view = Optional.of(command.view());
		this.peers = Optional.of(command.peers());
		this.loads.update(command.view().loads());
	}

	// access

	/**
	 * Chooses an entry host for a request.
	 * @param entry the request
	 * @param ownWaitMillis supplies the expected wait on this entry host in milliseconds
	 * @return the entry host; empty if waiting here is better or the request was already
	 * forwarded
	 */
	Optional<PeerLoad> choose(RouterCommand.Enqueue entry, LongSupplier ownWaitMillis) {
		if (this.peers.isEmpty() || entry.forwarded()) {
			return Optional.empty();
		}
		List<PeerLoad> all = this.loads.of(entry.queue());
		List<PeerLoad> preferred = all.stream()
			.filter((load) -> !entry.avoided().contains(new Target.Peer(load.host())))
			.toList();
		return this.settings.policy()
			.choosePeer(preferred.isEmpty() ? all : preferred, this.ownDataCentre, ownWaitMillis.getAsLong(),
					this.settings.peerRoundTripTimes(), this.random);
	}

	/**
	 * Chooses an entry host for an attempt and counts the attempt against the free slots
	 * of that host.
	 * @param entry the request
	 * @param attempt number of the attempt
	 * @param ownWaitMillis supplies the expected wait on this entry host in milliseconds
	 * @return the dispatch to send to the request; empty if it should wait here
	 */
	Optional<Dispatch> forward(RouterCommand.Enqueue entry, long attempt, LongSupplier ownWaitMillis) {
		Optional<PeerLoad> chosen = choose(entry, ownWaitMillis);
		chosen.ifPresent((load) -> this.loads.recordSent(entry.queue(), load));
		return chosen.map((load) -> new Dispatch.ToPeer(attempt, load.host(), this.peers.get()));
	}

	Optional<String> attachTo(RunnerName runner, boolean stopping) {
		return this.view.flatMap((known) -> known.attachTo(runner.value(), stopping));
	}

}
