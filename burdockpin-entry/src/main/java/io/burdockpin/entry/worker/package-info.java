/** Relays worker reports to the leader and its orders to the workers. */
package io.burdockpin.entry.worker;
