/** Load tool with checked answers. */
package io.burdockpin.testbench.load;
