package io.burdockpin.core.limit;

import java.util.Optional;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;

/** An entry host of the simulated fleet, whose clock runs at its own rate. */
final class SimulatedHost {

	final DataCentre dataCentre;

	final double clockRate;

	private final HostName name;

	Holder holder;

	LocalTokens tokens;

	HolderDeltas deltas;

	boolean registered;

	long lastSequence;

	long demandUntilMillis;

	/** Tokens of a forgotten incarnation, still used only by an injected fault. */
	Optional<LocalTokens> forgottenTokens = Optional.empty();

	SimulatedHost(int number, int dataCentres, double clockRate) {
		this.name = new HostName("entry-" + number);
		this.dataCentre = new DataCentre("dc-" + number % dataCentres);
		this.clockRate = clockRate;
		restart(1);
	}

	void restart(long incarnation) {
		this.holder = new Holder(this.name, incarnation);
		this.tokens = new LocalTokens(this.holder);
		this.deltas = new HolderDeltas();
		this.registered = false;
		this.lastSequence = 0;
	}

	void startIncarnation(Holder newHolder) {
		this.holder = newHolder;
		this.deltas = new HolderDeltas();
		this.registered = false;
	}

	long localMillis(long nowMillis) {
		return (long) (nowMillis * this.clockRate);
	}

}
