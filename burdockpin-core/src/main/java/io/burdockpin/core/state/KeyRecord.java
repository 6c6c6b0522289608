package io.burdockpin.core.state;

import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.TeamName;

/**
 * A team key in the replicated state. The record of a withdrawn key is kept, so that the
 * key cannot be granted again.
 *
 * @param hash hash of the key
 * @param team the team that may use the key
 * @param label a description of the key for operators
 * @param withdrawn whether the key has been withdrawn permanently
 * @param version log index of the last change, compared with the version an operator
 * expects
 */
public record KeyRecord(KeyHash hash, TeamName team, String label, boolean withdrawn, long version) {

}
