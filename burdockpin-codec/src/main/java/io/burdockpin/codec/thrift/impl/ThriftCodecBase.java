package io.burdockpin.codec.thrift.impl;

import io.burdockpin.codec.exc.CodecException;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryInputTransport;

/**
 * Base class of the codecs that encode a core type as one Thrift struct in the compact
 * protocol. The components of the core type and the fields of the struct are matched by
 * name when the codec is created. Immutable.
 *
 * @param <M> the core type
 * @param <T> the generated struct
 */
public abstract class ThriftCodecBase<M, T extends TBase<?, ?>> {

	private final Class<M> coreType;

	private final ThriftType<T> thriftType;

	private final ValueMapping mapping;

	/**
	 * Creates a codec.
	 * @param coreType the core type
	 * @param thriftType the generated struct with the same field names
	 * @throws CodecException with code {@code INTERNAL} if the types do not match
	 */
	protected ThriftCodecBase(Class<M> coreType, Class<T> thriftType) {
		this.coreType = coreType;
		this.thriftType = new ThriftType<>(thriftType);
		this.mapping = new MappingFactory().struct(coreType, thriftType);
	}

	/**
	 * Encodes a value.
	 * @param value the value
	 * @return its encoding in the compact protocol
	 */
	public byte[] encode(M value) {
		TBase<?, ?> struct = (TBase<?, ?>) this.mapping.toThrift(value);
		try {
			return new TSerializer(new TCompactProtocol.Factory()).serialize(struct);
		}
		catch (TException ex) {
			throw CodecException.unsupported("%s cannot be encoded".formatted(this.coreType.getSimpleName()), ex);
		}
	}

	/**
	 * Decodes a value.
	 * @param bytes the encoding of exactly one value
	 * @return the value
	 * @throws CodecException with code {@code DECODE_FAILED} if the bytes are malformed
	 */
	public M decode(byte[] bytes) {
		try {
			return this.coreType.cast(this.mapping.toCore(read(bytes)));
		}
		catch (CodecException ex) {
			throw ex;
		}
		catch (TException | RuntimeException ex) {
			throw CodecException.malformed("%s cannot be decoded".formatted(this.coreType.getSimpleName()), ex);
		}
	}

	private TBase<?, ?> read(byte[] bytes) throws TException {
		TMemoryInputTransport transport = ThriftInput.open(bytes);
		TBase<?, ?> struct = this.thriftType.create();
		struct.read(new TCompactProtocol(transport));
		ThriftInput.checkEnd(transport, this.coreType.getSimpleName());
		return struct;
	}

}
