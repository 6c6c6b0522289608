/** Exceptions and error codes. */
package io.burdockpin.core.exc;
