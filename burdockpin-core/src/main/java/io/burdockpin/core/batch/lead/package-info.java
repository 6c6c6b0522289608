/**
 * The leader of the batch scheduler. Its decisions are in the subpackages.
 */
package io.burdockpin.core.batch.lead;
