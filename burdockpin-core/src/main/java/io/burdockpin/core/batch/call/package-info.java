/** Calls of callers, operators and runners that the leader answers. */
package io.burdockpin.core.batch.call;
