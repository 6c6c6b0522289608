package io.burdockpin.core.model;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Immutable bytes whose meaning the core does not know. The bytes are copied neither in
 * nor out, so callers must not change an array after handing it over.
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
	 * @param bytes the array, which must not change any more
	 * @return the payload
	 */
	public static Payload of(byte[] bytes) {
		return (bytes.length != 0) ? new Payload(bytes) : EMPTY;
	}

	/**
	 * Encodes a text as UTF-8.
	 * @param text the text
	 * @return the payload
	 */
	public static Payload ofText(String text) {
		return of(text.getBytes(StandardCharsets.UTF_8));
	}

	/**
	 * Returns the wrapped array.
	 * @return the array, which must not be changed
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
	 * @return the text
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
