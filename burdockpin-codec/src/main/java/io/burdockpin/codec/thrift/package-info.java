/** Thrift codecs; the package {@code generated} below contains the generated classes. */
package io.burdockpin.codec.thrift;
