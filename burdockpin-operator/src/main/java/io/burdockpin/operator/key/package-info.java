/** Team keys. */
package io.burdockpin.operator.key;
