/** The way of calls from the process that takes them to the leader. */
package io.burdockpin.batch.call;
