/** Decides from what was observed whether a promise was broken. */
package io.burdockpin.systemtest.check;
