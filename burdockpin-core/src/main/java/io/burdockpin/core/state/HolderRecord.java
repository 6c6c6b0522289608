package io.burdockpin.core.state;

import io.burdockpin.core.model.DataCentre;
import io.burdockpin.core.model.Holder;

/**
 * A registered life of an entry host.
 *
 * @param holder the life
 * @param dataCentre where the entry host stands
 * @param blocked whether the life has ended; its tokens stay counted until no request of
 * it can be running any more
 */
public record HolderRecord(Holder holder, DataCentre dataCentre, boolean blocked) {

}
