/** Replicated log: leader election, log replication and membership changes. */
package io.burdockpin.core.consensus;
