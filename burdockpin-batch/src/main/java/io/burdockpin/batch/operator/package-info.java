/** The HTTP interface for operators of the batch scheduler. */
package io.burdockpin.batch.operator;
