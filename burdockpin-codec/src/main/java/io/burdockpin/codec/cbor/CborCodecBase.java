package io.burdockpin.codec.cbor;

import java.io.IOException;

import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import io.burdockpin.codec.exc.CodecException;

/**
 * Writes the records of one type as CBOR and reads them back. Immutable.
 *
 * @param <T> the type
 */
public abstract class CborCodecBase<T> {

	private final Class<T> type;

	private final ObjectWriter writer;

	private final ObjectReader reader;

	/**
	 * Creates a codec.
	 * @param type the type
	 */
	protected CborCodecBase(Class<T> type) {
		this.type = type;
		this.writer = BatchCborMapper.INSTANCE.writerFor(type);
		this.reader = BatchCborMapper.INSTANCE.readerFor(type);
	}

	/**
	 * Encodes a value.
	 * @param value the value
	 * @return the bytes
	 */
	public final byte[] encode(T value) {
		try {
			return this.writer.writeValueAsBytes(value);
		}
		catch (IOException ex) {
			throw CodecException.unsupported(this.type.getSimpleName() + " has no CBOR form", ex);
		}
	}

	/**
	 * Decodes a value.
	 * @param bytes the bytes
	 * @return the value
	 * @throws CodecException if the bytes are malformed
	 */
	public final T decode(byte[] bytes) {
		try {
			return this.reader.readValue(bytes);
		}
		catch (IOException | RuntimeException ex) {
			throw CodecException.malformed(this.type.getSimpleName() + " is malformed", ex);
		}
	}

}
