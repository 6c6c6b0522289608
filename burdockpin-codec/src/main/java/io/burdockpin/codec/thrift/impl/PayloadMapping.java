package io.burdockpin.codec.thrift.impl;

import java.nio.ByteBuffer;

import io.burdockpin.core.model.Payload;

/** Converts payloads to Thrift binary fields. */
final class PayloadMapping implements ValueMapping {

	@Override
	public Object toThrift(Object value) {
		return ByteBuffer.wrap(((Payload) value).bytes());
	}

	@Override
	public Object toCore(Object value) {
		if (value instanceof byte[] bytes) {
			return Payload.of(bytes);
		}
		ByteBuffer buffer = ((ByteBuffer) value).duplicate();
		byte[] bytes = new byte[buffer.remaining()];
		buffer.get(bytes);
		return Payload.of(bytes);
	}

}
