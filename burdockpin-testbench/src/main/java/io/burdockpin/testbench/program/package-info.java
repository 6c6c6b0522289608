/** What the testbench programs share: command line, addresses, files and HTTP. */
package io.burdockpin.testbench.program;
