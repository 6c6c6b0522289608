/** Changes and questions of operators. */
package io.burdockpin.entry.operator;
