/** Immutable settings of the decisions. */
package io.burdockpin.core.cfg;
