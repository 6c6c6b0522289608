/** Measures how entry hosts should choose each other when what they know is old. */
package io.burdockpin.benchmark.choice;
