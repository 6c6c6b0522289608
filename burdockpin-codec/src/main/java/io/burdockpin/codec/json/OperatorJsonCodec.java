package io.burdockpin.codec.json;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.burdockpin.codec.exc.CodecException;
import io.burdockpin.core.operator.OperatorReply;
import io.burdockpin.core.operator.OperatorRequest;

/**
 * Encodes and decodes the operator interface as JSON documents with the field names of
 * {@code operator.thrift}. Immutable.
 */
public final class OperatorJsonCodec {

	private final ObjectMapper mapper = CoreJsonMapper.create();

	/**
	 * Decodes the body of an HTTP request of an operator.
	 * @param bytes a JSON document in UTF-8
	 * @return the request
	 * @throws CodecException with code {@code DECODE_FAILED} if the body is malformed
	 */
	public OperatorRequest decodeRequest(byte[] bytes) {
		return decode(bytes, OperatorRequest.class);
	}

	/**
	 * Encodes the body of an HTTP response.
	 * @param reply the reply
	 * @return a JSON document in UTF-8
	 */
	public byte[] encodeReply(OperatorReply reply) {
		return encode(reply, OperatorReply.class);
	}

	/**
	 * Encodes the body of an HTTP request, for clients.
	 * @param request the request
	 * @return a JSON document in UTF-8
	 */
	public byte[] encodeRequest(OperatorRequest request) {
		return encode(request, OperatorRequest.class);
	}

	/**
	 * Decodes the body of an HTTP response, for clients.
	 * @param bytes a JSON document in UTF-8
	 * @return the reply
	 * @throws CodecException with code {@code DECODE_FAILED} if the body is malformed
	 */
	public OperatorReply decodeReply(byte[] bytes) {
		return decode(bytes, OperatorReply.class);
	}

	private byte[] encode(Object value, Class<?> type) {
		try {
			return this.mapper.writerFor(type).writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw CodecException.unsupported("%s cannot be encoded".formatted(type.getSimpleName()), ex);
		}
	}

	private <T> T decode(byte[] bytes, Class<T> type) {
		try {
			return this.mapper.readerFor(type).readValue(bytes);
		}
		catch (JsonProcessingException ex) {
			throw CodecException.malformed(ex.getOriginalMessage(), ex);
		}
		catch (IOException | RuntimeException ex) {
			throw CodecException.malformed("%s cannot be decoded".formatted(type.getSimpleName()), ex);
		}
	}

}
