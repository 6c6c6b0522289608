package io.burdockpin.core.model;

/**
 * The fixed properties of a host, as declared by the operator.
 *
 * @param name name of the host
 * @param dataCentre data centre of the host
 * @param rack rack of the host
 * @param capacity resources that are available to jobs
 */
public record HostSpec(HostName name, DataCentre dataCentre, Rack rack, Resources capacity) {

}
