/** The operator's interface of the batch scheduler over HTTP. */
package io.burdockpin.batch.operator;
