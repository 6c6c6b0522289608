/** How the teams' upper limits are divided into tokens that move between entry hosts. */
package io.burdockpin.core.limit;
