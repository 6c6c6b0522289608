/** Root guardians of the batch scheduler. */
package io.burdockpin.batch;
