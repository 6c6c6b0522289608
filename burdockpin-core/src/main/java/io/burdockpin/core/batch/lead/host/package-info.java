/** Orders about hosts, their rate and the pause between leaders. */
package io.burdockpin.core.batch.lead.host;
