/** Interfaces that codecs implement. */
package io.burdockpin.codec.io;
