/** General-purpose utilities without domain knowledge. */
package io.burdockpin.core.util;
