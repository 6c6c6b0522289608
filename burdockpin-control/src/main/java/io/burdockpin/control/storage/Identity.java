package io.burdockpin.control.storage;

/**
 * Identity of a data folder, the content of {@code identity.json}.
 *
 * @param cluster the cluster
 * @param host the member
 * @param incarnation 1 if formatted for a new cluster, else random
 * @param formatted whether the folder was formatted for a new cluster
 */
public record Identity(String cluster, String host, long incarnation, boolean formatted) {

}
