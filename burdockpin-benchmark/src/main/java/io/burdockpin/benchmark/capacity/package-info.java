/** Sizes and costs at growing fleet sizes, for the capacity page. */
package io.burdockpin.benchmark.capacity;
