package io.burdockpin.core.state;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;

/**
 * A registered incarnation of an entry host.
 *
 * @param holder the host and its incarnation
 * @param dataCentre data centre of the entry host
 * @param blocked whether the incarnation has ended; its tokens count against the limits
 * until none of its requests can still be running
 */
public record HolderRecord(Holder holder, DataCentre dataCentre, boolean blocked) {

}
