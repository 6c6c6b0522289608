package io.burdockpin.core.batch.model;

/**
 * A pool of hosts, each with a runner.
 *
 * @param name the name
 * @param admissionChecked whether runners refuse tasks that exceed their capacity
 * @param spare whether the hosts are switched off until they are moved to another pool
 */
public record BatchPool(String name, boolean admissionChecked, boolean spare) {

}
