/** Actors that run the replicated log of the batch scheduler and connect its members. */
package io.burdockpin.batch.consensus;
