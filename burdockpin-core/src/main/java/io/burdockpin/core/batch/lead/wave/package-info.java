/** Maintenance waves. */
package io.burdockpin.core.batch.lead.wave;
