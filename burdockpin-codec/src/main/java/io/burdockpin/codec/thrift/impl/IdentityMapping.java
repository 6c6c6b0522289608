package io.burdockpin.codec.thrift.impl;

/** Passes numbers, booleans and strings unchanged. */
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
