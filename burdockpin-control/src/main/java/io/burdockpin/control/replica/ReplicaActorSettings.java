package io.burdockpin.control.replica;

/**
 * Settings of the replica actor. Immutable.
 *
 * @param cluster name of the cluster; messages of other clusters are dropped
 * @param confirmationMillis maximum time that a reply waits for the entry hosts to
 * confirm a configuration change
 */
public record ReplicaActorSettings(String cluster, long confirmationMillis) {

}
