package io.burdockpin.core.limit;

import io.burdockpin.core.model.TeamName;

/**
 * Tokens of a team on one entry host.
 *
 * @param team the team
 * @param ownedCount tokens that the host holds until it returns them
 * @param leasedCount tokens that expire unless they are renewed, 0 after the lease has
 * expired
 * @param inUseCount tokens in use by attempts, including attempts whose end is not known
 */
public record TokenCount(TeamName team, int ownedCount, int leasedCount, int inUseCount) {

}
