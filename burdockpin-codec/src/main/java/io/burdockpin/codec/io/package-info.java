/** Codec interfaces, independent of the encoding. */
package io.burdockpin.codec.io;
