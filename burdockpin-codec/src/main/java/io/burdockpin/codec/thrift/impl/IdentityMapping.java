package io.burdockpin.codec.thrift.impl;

/** Passes numbers, truth values and texts on unchanged. */
final class IdentityMapping implements ValueMapping {

	@Override
	public Object toThrift(Object value) {
		return value;
	}

	@Override
	public Object toCore(Object value) {
		return value;
	}

}
