/** Thrift encodings; generated classes are below {@code generated}. */
package io.burdockpin.codec.thrift;
