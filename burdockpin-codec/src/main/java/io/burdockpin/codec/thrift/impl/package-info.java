/** Codecs that encode core types with Thrift. */
package io.burdockpin.codec.thrift.impl;
