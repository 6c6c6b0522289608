package io.burdockpin.core.batch.model;

/**
 * Order of an operator that nothing is started in a data centre until it is opened again.
 *
 * @param dataCentre the name of the data centre
 * @param sinceMillis when the order was proposed, in milliseconds since 1970
 * @param origin who ordered it, as text for operators
 */
public record DataCentreClosing(String dataCentre, long sinceMillis, String origin) {

}
