/** Commands and queries of operators, including the withdrawal of keys. */
package io.burdockpin.entry.operator;
