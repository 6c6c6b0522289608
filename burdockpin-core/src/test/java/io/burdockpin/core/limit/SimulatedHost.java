package io.burdockpin.core.limit;

import java.util.Optional;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;
import io.burdockpin.core.model.HostName;

/** One entry host of the simulated fleet. Its clock runs at its own speed. */
final class SimulatedHost {

	final DataCentre dataCentre;

	final double clockRate;

	private final HostName name;

	Holder holder;

	TokenWallet wallet;

	HolderMessages messages;

	boolean registered;

	long lastSequence;

	long demandUntilMillis;

	/** The wallet of a forgotten life, which only a planted fault goes on using. */
	Optional<TokenWallet> forgottenWallet = Optional.empty();

	SimulatedHost(int number, int dataCentres, double clockRate) {
		this.name = new HostName("entry-" + number);
		this.dataCentre = new DataCentre("dc-" + number % dataCentres);
		this.clockRate = clockRate;
		restart(1);
	}

	void restart(long incarnation) {
		this.holder = new Holder(this.name, incarnation);
		this.wallet = new TokenWallet(this.holder);
		this.messages = new HolderMessages();
		this.registered = false;
		this.lastSequence = 0;
	}

	void startLife(Holder newLife) {
		this.holder = newLife;
		this.messages = new HolderMessages();
		this.registered = false;
	}

	long localMillis(long nowMillis) {
		return (long) (nowMillis * this.clockRate);
	}

}
