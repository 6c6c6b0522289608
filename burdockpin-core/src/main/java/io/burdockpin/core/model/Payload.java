package io.burdockpin.core.model;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Immutable, opaque bytes. Arrays are neither copied on construction nor on access, so
 * callers must not modify an array after passing it in.
 */
public final class Payload {

	/** No bytes. */
	public static final Payload EMPTY = new Payload(new byte[0]);

	private final byte[] bytes;

	private Payload(byte[] bytes) {
		this.bytes = bytes;
	}

	/**
	 * Wraps an array without copying it.
	 * @param bytes the array, which must not be modified afterwards
	 * @return the payload, {@link #EMPTY} for an empty array
	 */
	public static Payload of(byte[] bytes) {
		return (bytes.length != 0) ? new Payload(bytes) : EMPTY;
	}

	/**
	 * Encodes a string as UTF-8.
	 * @param text the string
	 * @return the payload
	 */
	public static Payload ofText(String text) {
		return of(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the wrapped array.
	 * @return the array, which must not be modified
	 */
	public byte[] bytes() {
		return this.bytes;
	}

	/**
	 * Returns the length.
	 * @return the length in bytes
	 */
	public int lengthBytes() {
		return this.bytes.length;
	}

	/**
	 * Decodes the bytes as UTF-8.
	 * @return the decoded string
	 */
	public String text() {
		return new String(this.bytes, StandardCharsets.UTF_8);
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof Payload payload && Arrays.equals(this.bytes, payload.bytes);
	}

	@Override
	public int hashCode() {
		return Arrays.hashCode(this.bytes);
	}

	@Override
	public String toString() {
		return "Payload[" + this.bytes.length + " bytes]";
	}

}
