/** Transfer of worker reports from entry hosts to the leader. */
package io.burdockpin.core.report;
