/** Root actors and settings of the processes of the batch scheduler. */
package io.burdockpin.batch;
