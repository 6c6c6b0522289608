/** Calls from callers, operators and runners, and how the leader is found and replies. */
package io.burdockpin.core.batch.call;
