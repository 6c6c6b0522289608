/** Tables, JSON and explanations. */
package io.burdockpin.operator.output;
