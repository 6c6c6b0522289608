/** Exceptions of the codec layer. */
package io.burdockpin.codec.exc;
