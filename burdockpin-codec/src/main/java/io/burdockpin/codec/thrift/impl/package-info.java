/** Codecs between core types and Thrift bytes. */
package io.burdockpin.codec.thrift.impl;
