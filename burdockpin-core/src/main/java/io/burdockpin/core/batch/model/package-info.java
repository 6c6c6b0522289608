/** Jobs of many tasks, their queues, runners and maintenance waves. */
package io.burdockpin.core.batch.model;
