/** Decisions on which worker runs which job, and under which lease. */
package io.burdockpin.core.placement;
