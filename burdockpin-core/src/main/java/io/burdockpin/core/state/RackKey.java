package io.burdockpin.core.state;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.Rack;

/**
 * Identifies a rack by data centre and name, because rack names are unique only within a
 * data centre. Immutable.
 *
 * @param dataCentre data centre of the rack
 * @param rack name within the data centre
 */
record RackKey(DataCentre dataCentre, Rack rack) {

	static RackKey of(HostSpec host) {
		return new RackKey(host.dataCentre(), host.rack());
	}

}
