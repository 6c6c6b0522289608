/** Benchmark of the planners' decisions with seeded demand in virtual time. */
package io.burdockpin.benchmark.policy;
