package io.burdockpin.codec.cbor;

import java.io.IOException;

import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import io.burdockpin.codec.exc.CodecException;

/**
 * Base class of the codecs that encode values of one type as CBOR. Immutable.
 *
 * @param <T> type of the values
 */
public abstract class CborCodecBase<T> {

	private final Class<T> type;

	private final ObjectWriter writer;

	private final ObjectReader reader;

	/**
	 * Creates a codec.
	 * @param type the class of the values
	 */
	protected CborCodecBase(Class<T> type) {
		this.type = type;
		this.writer = BatchCborMapper.INSTANCE.writerFor(type);
		this.reader = BatchCborMapper.INSTANCE.readerFor(type);
	}

	/**
	 * Encodes a value.
	 * @param value the value
	 * @return its CBOR encoding
	 */
	public final byte[] encode(T value) {
		try {
			return this.writer.writeValueAsBytes(value);
		}
		catch (IOException ex) {
			throw CodecException.unsupported("%s cannot be encoded as CBOR".formatted(this.type.getSimpleName()), ex);
		}
	}

	/**
	 * Decodes a value.
	 * @param bytes the CBOR encoding of one value
	 * @return the value
	 * @throws CodecException if the bytes are malformed
	 */
	public final T decode(byte[] bytes) {
		try {
			return this.reader.readValue(bytes);
		}
		catch (IOException | RuntimeException ex) {
			throw CodecException.malformed("malformed CBOR encoding of %s".formatted(this.type.getSimpleName()), ex);
		}
	}

}
