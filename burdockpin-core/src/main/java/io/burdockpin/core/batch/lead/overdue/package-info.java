/** Detection of work that does not make progress. */
package io.burdockpin.core.batch.lead.overdue;
