package io.burdockpin.core.state;

import io.burdockpin.core.model.KeyHash;
import io.burdockpin.core.model.TeamName;

/**
 * A team key in the replicated state. A withdrawn key keeps its record, so that it cannot
 * be granted again.
 *
 * @param hash hash of the key
 * @param team the team
 * @param label a name by which operators know the key
 * @param withdrawn whether it has been withdrawn
 * @param version grows with each change
 */
public record KeyRecord(KeyHash hash, TeamName team, String label, boolean withdrawn, long version) {

}
