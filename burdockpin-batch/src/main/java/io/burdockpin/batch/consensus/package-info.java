/** The replicated log of the batch scheduler and the links between its members. */
package io.burdockpin.batch.consensus;
