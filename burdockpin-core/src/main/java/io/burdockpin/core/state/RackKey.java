package io.burdockpin.core.state;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.HostSpec;
import io.burdockpin.core.model.Rack;

/**
 * A rack in its data centre, because racks of different data centres may have the same
 * name. Immutable.
 *
 * @param dataCentre the data centre
 * @param rack the rack
 */
record RackKey(DataCentre dataCentre, Rack rack) {

	static RackKey of(HostSpec host) {
		return new RackKey(host.dataCentre(), host.rack());
	}

}
