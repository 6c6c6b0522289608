/** Tests with real processes that prove the promises of the design under failure. */
package io.burdockpin.systemtest;
