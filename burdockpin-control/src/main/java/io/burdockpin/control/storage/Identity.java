package io.burdockpin.control.storage;

/**
 * Identity of the member that owns a data folder, stored in {@code identity.json}.
 *
 * @param cluster name of the cluster
 * @param host host of the member
 * @param incarnation 1 if formatted for a new cluster, the number given by the operator
 * if restored from a backup, otherwise random
 * @param formatted whether the folder was formatted for a new cluster or restored from a
 * backup
 */
public record Identity(String cluster, String host, long incarnation, boolean formatted) {

}
