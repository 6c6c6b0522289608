/** Requests of operators and the replies to them. */
package io.burdockpin.core.operator;
