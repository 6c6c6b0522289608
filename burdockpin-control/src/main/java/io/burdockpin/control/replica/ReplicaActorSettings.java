package io.burdockpin.control.replica;

/**
 * Settings of the replica actor. Immutable.
 *
 * @param cluster the cluster; messages of other clusters are dropped
 * @param confirmationMillis how long a reply waits for the confirmation of the entry
 * hosts
 */
public record ReplicaActorSettings(String cluster, long confirmationMillis) {

}
