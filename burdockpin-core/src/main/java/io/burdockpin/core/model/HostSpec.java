package io.burdockpin.core.model;

/**
 * The fixed properties of a host, as the operator states them.
 *
 * @param name the host
 * @param dataCentre the data centre it stands in
 * @param rack the rack it stands in
 * @param capacity what it has to give to jobs
 */
public record HostSpec(HostName name, DataCentre dataCentre, Rack rack, Resources capacity) {

}
