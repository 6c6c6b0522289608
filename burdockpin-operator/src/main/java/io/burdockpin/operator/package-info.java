/** The operator command line {@code burdockctl}. */
package io.burdockpin.operator;
