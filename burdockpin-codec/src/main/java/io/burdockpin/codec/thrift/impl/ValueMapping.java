package io.burdockpin.codec.thrift.impl;

/**
 * Converts values of one core type to and from Thrift values. Implementations are
 * immutable.
 */
interface ValueMapping {

	/**
	 * Converts a core value.
	 * @param value the core value
	 * @return the corresponding Thrift field value
	 */
	Object toThrift(Object value);

	/**
	 * Converts a Thrift value.
	 * @param value the value of the Thrift field
	 * @return the core value
	 */
	Object toCore(Object value);

}
