package io.burdockpin.core.limit;

import io.burdockpin.core.model.TeamName;

/**
 * The tokens of a team on one entry host.
 *
 * @param team the team
 * @param ownedCount tokens that are kept until returned
 * @param leasedCount tokens that lapse when they are not renewed, 0 after that
 * @param inUseCount tokens of attempts, those with an unknown end included
 */
public record TokenCount(TeamName team, int ownedCount, int leasedCount, int inUseCount) {

}
