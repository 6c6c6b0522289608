/**
 * Soaks the batch scheduler as real processes, with stand-ins of the platform around it.
 */
package io.burdockpin.systemtest.batch;
