/** Fault-injecting TCP proxy. */
package io.burdockpin.testbench.proxy;
