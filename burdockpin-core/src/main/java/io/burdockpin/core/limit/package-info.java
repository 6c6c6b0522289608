/** Division of the teams' upper limits into tokens that move between entry hosts. */
package io.burdockpin.core.limit;
