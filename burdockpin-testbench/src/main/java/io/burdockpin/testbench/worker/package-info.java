/** Stand-in worker, which runs jobs as timers under leases. */
package io.burdockpin.testbench.worker;
