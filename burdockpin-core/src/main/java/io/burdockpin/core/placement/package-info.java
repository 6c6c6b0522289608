/** Job placement: assigns jobs to workers and manages their leases. */
package io.burdockpin.core.placement;
