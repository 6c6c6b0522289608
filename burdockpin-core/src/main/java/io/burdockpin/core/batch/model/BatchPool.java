package io.burdockpin.core.batch.model;

/**
 * A pool of hosts, each of which runs one runner.
 *
 * @param name unique within a configuration
 * @param admissionChecked whether runners refuse tasks that exceed their capacity
 * @param spare whether the hosts are powered off until they are moved to another pool
 */
public record BatchPool(String name, boolean admissionChecked, boolean spare) {

}
