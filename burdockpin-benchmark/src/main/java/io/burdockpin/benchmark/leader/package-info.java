/** Processor time of the leader of the batch scheduler. */
package io.burdockpin.benchmark.leader;
