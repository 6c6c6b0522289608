/** Which worker reports an entry host sends and what the leader makes of them. */
package io.burdockpin.core.report;
