/** Starts the programs as processes, with fault proxies on the links between them. */
package io.burdockpin.systemtest.fleet;
