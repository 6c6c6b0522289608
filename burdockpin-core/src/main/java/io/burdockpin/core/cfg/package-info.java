/** Immutable settings of the core. */
package io.burdockpin.core.cfg;
