/** Transport of calls from the process that receives them to the leader. */
package io.burdockpin.batch.call;
