/**
 * Value types of the batch scheduler: jobs, queues, pools, runners, maintenance waves.
 */
package io.burdockpin.core.batch.model;
