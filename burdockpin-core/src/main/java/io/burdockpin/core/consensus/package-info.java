/** Decisions of the replicated log. */
package io.burdockpin.core.consensus;
