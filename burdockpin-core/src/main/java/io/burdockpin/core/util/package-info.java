/** Small helpers without domain knowledge. */
package io.burdockpin.core.util;
