package io.burdockpin.codec.thrift.impl;

/** Converts the values of one core type to Thrift and back. Immutable. */
interface ValueMapping {

	/**
	 * Converts a core value.
	 * @param value the core value
	 * @return the value of the Thrift field
	 */
	Object toThrift(Object value);

	/**
	 * Converts a Thrift value.
	 * @param value the value of the Thrift field
	 * @return the core value
	 */
	Object toCore(Object value);

}
