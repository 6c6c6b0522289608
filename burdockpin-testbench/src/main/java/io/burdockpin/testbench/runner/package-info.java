/** Stand-in runner, an upstream that answers requests. */
package io.burdockpin.testbench.runner;
