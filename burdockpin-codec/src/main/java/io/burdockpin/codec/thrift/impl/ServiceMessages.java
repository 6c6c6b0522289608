package io.burdockpin.codec.thrift.impl;

import java.util.Arrays;

import io.burdockpin.codec.exc.CodecException;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TFieldIdEnum;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;

/**
 * Encodes and decodes the calls and replies of a Thrift service in the binary protocol.
 * Stateless.
 */
final class ServiceMessages {

	private static final int INITIAL_BYTES = 256;

	private ServiceMessages() {
	}

	static byte[] write(TMessage header, TBase<?, ?> body) {
		try {
			TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BYTES);
			TProtocol protocol = new TBinaryProtocol(buffer);
			protocol.writeMessageBegin(header);
			body.write(protocol);
			protocol.writeMessageEnd();
			return Arrays.copyOf(buffer.getArray(), buffer.length());
		}
		catch (TException ex) {
			throw CodecException.unsupported("message %s cannot be encoded".formatted(header.name), ex);
		}
	}

	static <R> R read(byte[] bytes, Reader<R> reader) {
		try {
			TMemoryInputTransport transport = ThriftInput.open(bytes);
			TProtocol protocol = new TBinaryProtocol(transport);
			R result = reader.read(protocol, protocol.readMessageBegin());
			ThriftInput.checkEnd(transport, "the message");
			return result;
		}
		catch (CodecException ex) {
			throw ex;
		}
		catch (TException | RuntimeException ex) {
			throw CodecException.malformed("the service message cannot be decoded", ex);
		}
	}

	static TBase<?, TFieldIdEnum> readBody(TProtocol protocol, ThriftType<?> type) throws TException {
		TBase<?, TFieldIdEnum> body = type.create();
		body.read(protocol);
		return body;
	}

	static void checkType(TProtocol protocol, TMessage header, byte expected) throws TException {
		if (header.type == TMessageType.EXCEPTION) {
			TApplicationException failure = new TApplicationException();
			failure.read(protocol);
			throw CodecException.malformed("the service rejected the call: " + failure.getMessage(), failure);
		}
		if (header.type != expected) {
			throw CodecException.malformed("message has type %d, expected %d".formatted(header.type, expected), null);
		}
	}

	/**
	 * Reads the body that follows a message header.
	 *
	 * @param <R> type of the result
	 */
	interface Reader<R> {

		R read(TProtocol protocol, TMessage header) throws TException;

	}

}
