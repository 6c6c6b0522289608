/** What operators ask for and the replies they get. */
package io.burdockpin.core.operator;
