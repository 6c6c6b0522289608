/** Times and sizes of configuration changes and of recovery, with real processes. */
package io.burdockpin.benchmark.change;
